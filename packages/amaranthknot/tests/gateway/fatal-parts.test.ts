import * as chai from 'chai';
import * as ports from '@amaranthknot/ports';
import * as crashes from './crash-fixture.js';
import * as fixture from './gateway-fixture.js';

const INSTANCES = 3;
const UPSTREAMS = 8;

/** Requests per second. */
const SOUND_RATE = 40;
const FATAL_RATE = 5;

/** Ends of upstreams after which the part must be kept away from them. */
const KNOWN_AFTER_ENDS = 5;

/** Requests with the part that may reach upstreams after that. */
const ALLOWED_ARRIVALS = 3;

/** Time after which all instances must know, in milliseconds. */
const {stabilityMs: STABILITY_MS} = fixture.BOUNDS.change;

/** Time for which requests with the part come, in milliseconds. */
const FATAL_MS = 9_000;

/** Places of the upstreams that end together, wave by wave. */
const WAVES = [
  [0, 2, 4],
  [1, 3, 5],
  [2, 4, 6],
  [3, 5, 7],
];

/** Time between two waves, longer than an upstream is down, in ms. */
const WAVE_MS = 2_300;

/** Least part of the sound requests that is served, relative to before. */
const MIN_SERVED_RATIO = 0.5;

interface PromptCase {
  readonly name: string;
  readonly createPrompt: crashes.CreatePrompt;
}

const CASES: readonly PromptCase[] = [
  {
    name: 'always in the same place',
    createPrompt: number => [
      `${crashes.FIRST_PART}:500`,
      `${crashes.FATAL_PART}:300`,
      `own${number}:200`,
    ],
  },
  {
    name: 'in any place but the last, beside other parts each time',
    createPrompt: number => {
      const shared = [
        `${crashes.FIRST_PART}:500`,
        `n${number % 7}:100`,
        `m${number % 5}:100`,
      ];
      shared.splice(number % 4, 0, `${crashes.FATAL_PART}:300`);
      return [...shared, `own${number}:200`];
    },
  },
];

/** Requests with the part that arrived after all instances must know it. */
const findLateArrivals = ({
  arrivals,
  ends,
}: crashes.CrashingGateway): readonly crashes.Arrival[] => {
  const knownAtMs = ends[KNOWN_AFTER_ENDS - 1]?.atMs ?? Infinity;
  return arrivals.filter(
    ({atMs, isFatal}) => isFatal && atMs > knownAtMs + STABILITY_MS,
  );
};

describe('a part of prompts under which upstreams end', () => {
  let crashing: crashes.CrashingGateway;

  afterEach(async () => {
    await crashing.stop();
  });

  CASES.forEach(({name, createPrompt}) => {
    it(`is kept away from upstreams, and sound requests are served: ${name}`, async () => {
      // Guards against retries that carry what ends upstreams to the next one.
      crashing = await crashes.startCrashingGateway(INSTANCES, UPSTREAMS);
      const before = await crashing.load(
        SOUND_RATE,
        1_500,
        crashes.createSoundPrompt,
      );
      const fatal = crashing.load(FATAL_RATE, FATAL_MS, createPrompt);
      await crashing.load(
        SOUND_RATE,
        2 * STABILITY_MS,
        crashes.createSoundPrompt,
      );
      const meanwhile = await crashing.load(
        SOUND_RATE,
        FATAL_MS - 2 * STABILITY_MS,
        crashes.createSoundPrompt,
      );
      await fatal;
      chai
        .expect(findLateArrivals(crashing).length, 'late arrivals')
        .most(ALLOWED_ARRIVALS);
      chai
        .expect(meanwhile.served / meanwhile.sent, 'sound requests served')
        .least((MIN_SERVED_RATIO * before.served) / before.sent);
    });
  });

  it('is not looked for in upstreams that end together', async () => {
    // Guards against sound requests refused because upstreams were lost.
    crashing = await crashes.startCrashingGateway(INSTANCES, UPSTREAMS);
    await crashing.load(SOUND_RATE, 1_000, crashes.createSoundPrompt);
    const forMs = (WAVES.length + 1) * WAVE_MS;
    const load = crashing.load(SOUND_RATE, forMs, crashes.createSoundPrompt);
    for (const wave of WAVES) {
      await ports.systemClock.sleep(WAVE_MS);
      crashing.crash(wave);
    }
    const meanwhile = await load;
    const after = await crashing.load(
      SOUND_RATE,
      1_000,
      crashes.createSoundPrompt,
    );
    chai.expect(meanwhile.served / meanwhile.sent).least(0.98);
    chai.expect(after.served).equal(after.sent);
  });

  it('stays held when each instance restarts in turn', async () => {
    // Guards against a part that each restart lets back to upstreams.
    crashing = await crashes.startCrashingGateway(INSTANCES, UPSTREAMS);
    const [{createPrompt} = {createPrompt: crashes.createSoundPrompt}] = CASES;
    await crashing.load(FATAL_RATE, 2_000, createPrompt);
    const before = crashing.arrivals.filter(({isFatal}) => isFatal).length;
    for (let instance = 0; instance < INSTANCES; instance++) {
      await crashing.gateway.restart(instance);
      await crashing.load(FATAL_RATE, 1_000, createPrompt);
    }
    const after = crashing.arrivals.filter(({isFatal}) => isFatal).length;
    chai.expect(after - before).most(ALLOWED_ARRIVALS);
  });
});
