import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as telemetry from '@amaranthknot/telemetry';
import * as rolloutTracker from '../src/rollout-tracker.js';

const SESSION_MS = 5_000;
const DURATION_MS = 24_000;

const REQUEST_CLASS = {
  service: 'engines',
  route: 'drafts',
  model: 'small',
  isStream: true,
};

interface Setup {
  readonly clock: fakes.VirtualClock;
  readonly tracker: rolloutTracker.RolloutTracker;
  /** Ends of the rollout that were reported. */
  readonly reported: readonly string[];
  /** Records a successful answer of a version with this first-byte time. */
  readonly answer: (version: string, firstByteMs: number) => void;
  /** Records the pace of a stream of a version, in ms between its events. */
  readonly stream: (version: string, paceMs: number) => void;
  /** Whether any of 500 sessions still gets the new version. */
  readonly isExposed: () => boolean;
}

const createTracker = async (): Promise<Setup> => {
  const clock = new fakes.VirtualClock();
  const log = new telemetry.DecisionLog({
    instance: 'a',
    level: 'error',
    now: () => clock.now(),
  });
  const reported: string[] = [];
  const tracker = new rolloutTracker.RolloutTracker({
    clock,
    incarnation: 'a.1',
    sessionMs: SESSION_MS,
    limit: {share: 0.15, slack: 30},
    report: (_, state) => {
      reported.push(state);
      return Promise.resolve(false);
    },
    reportRank: () => 0,
    onBad: () => undefined,
    log,
  });
  tracker.applyRollouts([
    {
      service: 'engines',
      version: 'v2',
      state: 'running',
      durationMs: DURATION_MS,
      revision: 1,
    },
  ]);
  await clock.advance(SESSION_MS + 2_000);
  return {
    clock,
    tracker,
    reported,
    answer: (version, firstByteMs) => {
      tracker.recordAttempt({
        ...REQUEST_CLASS,
        version,
        isError: false,
        firstByteMs,
      });
    },
    stream: (version, paceMs) => {
      tracker.recordPace({...REQUEST_CLASS, version, paceMs});
    },
    isExposed: () =>
      Array.from({length: 500}, (_, i) => `session-${i}`).some(session => {
        const choice = tracker.chooseVersion('engines', session);
        return choice.kind === 'only' && choice.accepts('v2');
      }),
  };
};

describe('RolloutTracker', () => {
  it('stops a version that is slow for half of its requests after an outage', async () => {
    // When a zone loses power, a few answers of the old version take ten
    // seconds. With a mean instead of a median, slow answers would then look
    // typical, and a version that takes ten times as long for every other
    // request would get all traffic.
    const {answer, isExposed} = await createTracker();
    for (let i = 0; i < 20; i++) {
      answer('v1', 180);
    }
    for (let i = 0; i < 5; i++) {
      answer('v1', 10_000);
    }
    for (let i = 0; i < 20; i++) {
      answer('v1', 200);
      answer('v2', i % 2 === 0 ? 200 : 2_000);
    }
    chai.expect(isExposed()).equal(false);
  });

  it('keeps a version whose first prompts find empty caches', async () => {
    // The first prompts of a new version arrive at once and find empty caches:
    // its first answers take four times as long. If five such answers rolled
    // it back, operators would miss their date although the version is good.
    const {answer, isExposed} = await createTracker();
    for (let i = 0; i < 40; i++) {
      answer('v1', 200);
    }
    for (let i = 0; i < 5; i++) {
      answer('v2', 850);
    }
    chai.expect(isExposed()).equal(true);
  });

  it('stops a version with slow streams after first tokens on time', async () => {
    // First tokens come on time, but later events take five times as long.
    // Judged by first tokens alone the rollout completes, the old version's
    // upstreams stop, and all streams stay late.
    const {answer, stream, isExposed} = await createTracker();
    for (let i = 0; i < 30; i++) {
      answer('v1', 100);
      stream('v1', 40);
    }
    for (let i = 0; i < 8; i++) {
      answer('v2', 100);
      stream('v2', i % 2 === 0 ? 45 : 220);
    }
    chai.expect(isExposed()).equal(false);
  });

  /** Plays one streamed answer of a version, with this wait and pace. */
  const play = async (
    {clock, tracker, answer, stream}: Setup,
    version: string,
    timeMs: number,
  ): Promise<void> => {
    const requestClass = {...REQUEST_CLASS, version};
    const timed = tracker.beginAnswer(requestClass);
    await clock.advance(timeMs);
    timed?.recordFirstByte();
    answer(version, timeMs);
    for (let event = 0; event < 5; event++) {
      timed?.recordEvent();
      await clock.advance(timeMs);
    }
    stream(version, timeMs);
    timed?.end('answered');
  };

  /** Time of a typical answer, in milliseconds. */
  const TYPICAL_MS = 20;

  /** Lets the rollout end after answers of the new version. */
  const finish = async (setup: Setup, newMs: number): Promise<string> => {
    for (let i = 0; i < 20; i++) {
      await play(setup, 'v2', newMs);
    }
    while (setup.reported.length === 0) {
      await setup.clock.advance(50);
      setup.tracker.reportDueEnds();
    }
    return setup.reported[0]!;
  };

  for (const [oldMs, newMs, end] of [
    [TYPICAL_MS, TYPICAL_MS, 'completed'],
    [5 * TYPICAL_MS, TYPICAL_MS, 'completed'],
    [5 * TYPICAL_MS, 4 * TYPICAL_MS, 'rolled_back'],
  ] as const) {
    it(`is ${end} where old answers take ${oldMs} ms and new ones ${newMs} ms, ${TYPICAL_MS} before`, async () => {
      // Guards against a slow version that looks sound beside an old one which
      // a load slows down.
      const setup = await createTracker();
      for (let i = 0; i < 5; i++) {
        await play(setup, 'v1', TYPICAL_MS);
      }
      for (let i = 0; i < 20; i++) {
        await play(setup, 'v1', oldMs);
      }
      chai.expect(await finish(setup, newMs)).equal(end);
    });
  }

  it('does not complete a version that another instance judged bad', async () => {
    // Guards against an instance that completes a version by what it knows while
    // another one is about to report that it is bad.
    const setup = await createTracker();
    for (let i = 0; i < 30; i++) {
      await play(setup, 'v1', TYPICAL_MS);
    }
    const order = 'engines/v2';
    setup.tracker.merge([{order, ageMs: 0, pinned: [], isBad: true}], []);
    chai.expect(await finish(setup, TYPICAL_MS)).equal('rolled_back');
  });
});
