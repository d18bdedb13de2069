import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet that starts together converges, in milliseconds. */
const SETTLE_MS = 4_000;

/** Interval at which beliefs are compared with the truth, in milliseconds. */
const SAMPLE_MS = 20;

/**
 * What is left of the time within which a revoked key must be refused, in
 * milliseconds, when an instance stops to accept keys by an unconfirmed
 * configuration: ages may be too short by this time at most.
 */
const MAX_ERROR_MS = 750;

/** The configurations written to the store, with their true times. */
class WrittenConfigurations {
  private readonly rows: {readonly version: number; readonly atMs: number}[] =
    [];
  private count = 1;

  constructor(private readonly fleet: virtualFleet.VirtualFleet) {}

  /** Writes a further configuration. */
  async write(): Promise<void> {
    const {store, clock} = this.fleet;
    this.count++;
    const manifest = fixture.createManifest(this.count);
    const reading = store.get('config', 'main');
    await clock.advance(SAMPLE_MS);
    const {version} = (await reading).unsafeCoerce();
    const writing = store.update('config', 'main', manifest, version);
    await clock.advance(SAMPLE_MS);
    const written = (await writing).unsafeCoerce();
    this.rows.push({version: written.version, atMs: clock.now() - SAMPLE_MS});
  }

  /**
   * By how much an instance takes its configuration for younger than it is, in
   * milliseconds. It has been out of date since the first configuration that it
   * doesn't know was written.
   */
  findError({get}: virtualFleet.VirtualInstance): number {
    const known = get('views').configuration.objects.get('main')?.version ?? 0;
    const next = this.rows.find(({version}) => version > known);
    const now = this.fleet.clock.now();
    const trueAgeMs = next === undefined ? 0 : now - next.atMs;
    return trueAgeMs - (get('state').activeTable()?.ageMs ?? Infinity);
  }

  /** Advances time, and returns the largest error of any instance meanwhile. */
  async advance(ms: number): Promise<number> {
    let maxErrorMs = -Infinity;
    for (let waitedMs = 0; waitedMs < ms; waitedMs += SAMPLE_MS) {
      await this.fleet.clock.advance(SAMPLE_MS);
      for (const instance of this.fleet.live()) {
        maxErrorMs = Math.max(maxErrorMs, this.findError(instance));
      }
    }
    return maxErrorMs;
  }
}

/** Draws faults of clocks, machines and links, and writes configurations. */
const playFaults = async (
  seed: number,
  roundCount: number,
): Promise<number> => {
  const random = fakes.createRandom(seed);
  const between = (from: number, to: number): number =>
    from + (to - from) * random();
  const fleet = await virtualFleet.startVirtualFleet({
    instances: 7,
    zones: 3,
    linkDelayMs: () => (random() < 0.1 ? between(1, 400) : 1),
  });
  await fleet.clock.advance(SETTLE_MS);
  const written = new WrittenConfigurations(fleet);
  const draw = () => fleet.live()[Math.floor(between(0, fleet.live().length))]!;
  let maxErrorMs = -Infinity;
  for (let round = 0; round < roundCount; round++) {
    for (let fault = 0; fault < 4; fault++) {
      const {machine, id} = draw();
      const kind = random();
      if (kind < 0.5) {
        machine.setWallClock(between(-3_000, 3_000));
      } else if (kind < 0.8) {
        machine.suspend(between(50, 3_000));
      } else {
        fleet.isolate(id);
      }
      const advanced = await written.advance(between(20, 600));
      maxErrorMs = Math.max(maxErrorMs, advanced);
    }
    await written.write();
    maxErrorMs = Math.max(maxErrorMs, await written.advance(3_000));
    fleet.heal();
    maxErrorMs = Math.max(maxErrorMs, await written.advance(1_500));
  }
  return maxErrorMs;
};

/** Starts a fleet in which all instances know each other. */
const startSettledFleet = async (): Promise<virtualFleet.VirtualFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({instances: 6, zones: 3});
  await fleet.clock.advance(SETTLE_MS);
  return fleet;
};

describe('the age of a configuration', () => {
  it('is not too short at an instance whose watcher set its clock', async () => {
    // Guards against revoked keys that an instance which is cut off accepts for
    // longer than allowed, as its watcher's clock jumped while it held a call.
    const fleet = await startSettledFleet();
    const written = new WrittenConfigurations(fleet);
    const followers = fleet
      .live()
      .filter(({get}) => !get('watchRole').isWatcher());
    chai.expect(followers).not.empty;
    for (let jump = 0; jump < 4; jump++) {
      for (const {machine} of fleet.live()) {
        machine.setWallClock(2_400);
        await fleet.clock.advance(120);
        machine.setWallClock(-2_400);
      }
    }
    followers.forEach(({id}) => {
      fleet.isolate(id);
    });
    await written.write();
    chai.expect(await written.advance(6_000)).most(0);
  });

  for (const seed of [1, 2, 3, 4]) {
    it(`is not too short with drawn faults, seed ${seed}`, async () => {
      // Guards against any way in which a clock, a suspension or a delay makes a
      // view of the store look younger than it is.
      chai.expect(await playFaults(seed, 10)).most(MAX_ERROR_MS);
    });
  }
});

describe('the age of a rollout', () => {
  it('does not grow at any instance because one set its clock', async () => {
    // Guards against a rollout that ends early on all instances, before there
    // is evidence on its version, because the clock of one jumped ahead.
    const fleet = await startSettledFleet();
    const rollout = {service: fixture.SERVICE, to: 'v2', durationS: 20};
    const writing = fleet.store.create(
      platform.STORE_KINDS.rollouts,
      fixture.SERVICE,
      rollout,
    );
    await fleet.clock.advance(1_000);
    (await writing).unsafeCoerce();
    fleet.live()[0]!.machine.setWallClock(5_000);
    await fleet.clock.advance(3_000);
    const ages = fleet
      .live()
      .flatMap(({get}) => get('rollouts').progress())
      .map(({ageMs}) => ageMs);
    chai.expect(ages).length(fleet.live().length);
    chai.expect(Math.max(...ages)).most(4_000);
    chai.expect(Math.min(...ages)).least(3_000);
  });
});

describe('a wait', () => {
  /** What an upstream said, in milliseconds, and by how much the clock jumps. */
  const WAIT_MS = 3_000;
  const JUMP_MS = 2_900;

  const start = {id: 'i-1', startedAtMs: 1};

  for (const [name, begin, isOver] of [
    [
      'for the end of a cold start',
      get => {
        get('coldStarts').record(start, {
          source: 'entry',
          coldForMs: WAIT_MS,
          ageMs: 0,
        });
      },
      get => !get('coldStarts').describe(start).isCold,
    ],
    [
      'that an upstream asked for',
      get => {
        get('backoffs').record(start, WAIT_MS);
      },
      get => get('backoffs').findRemainingMs(start) === 0,
    ],
    [
      'until this instance may know the fleet',
      () => undefined,
      get => get('knownFleet').sharers !== undefined,
    ],
  ] as readonly (readonly [
    string,
    (get: virtualFleet.VirtualInstance['get']) => void,
    (get: virtualFleet.VirtualInstance['get']) => boolean,
  ])[]) {
    it(`${name} is not over because this machine set its clock`, async () => {
      // Guards against one instance that floods a cold or a resting upstream, as
      // its wall clock was set forward.
      const fleet = await virtualFleet.startVirtualFleet({
        instances: 1,
        zones: 1,
      });
      await fleet.clock.advance(400);
      const {get, machine} = fleet.live()[0]!;
      begin(get);
      await fleet.clock.advance(100);
      machine.setWallClock(JUMP_MS);
      await fleet.clock.advance(300);
      chai.expect(isOver(get)).equal(false);
    });
  }
});
