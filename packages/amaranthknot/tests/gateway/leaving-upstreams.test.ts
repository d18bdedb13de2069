import * as chai from 'chai';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/** Interval at which instances are checked, in ms. */
const SAMPLE_INTERVAL_MS = 20;

/**
 * Delays before watchers fail, in ms: the age of their data differs at each.
 */
const WATCHER_LOSS_DELAYS_MS = [0, 150, 300, 600, 900, 1_200];

/** Time for which one instance, or all, cannot reach the store, in ms. */
const STORE_LOSS_MS = 4_000;

/** Time within which a reconnected instance must have caught up, in ms. */
const MAX_CATCH_UP_MS = 1_500;

/** Number of registered upstreams, and how many of them leave. */
const UPSTREAMS = 12;
const LEAVING = 6;

const KIND = platform.STORE_KINDS.upstreams;

const nameOf = (index: number): string => `upstream-${index}`;

/** Bounds that allow `changeMs` for a change. */
const createBounds = (changeMs: number): typeof fixture.BOUNDS => ({
  ...fixture.BOUNDS,
  change: {
    ...fixture.BOUNDS.change,
    leavingMs: changeMs,
    configurationMs: changeMs,
    stabilityMs: changeMs + 1_000,
  },
});

const startFleet = async (
  leavingMs: number,
): Promise<virtualFleet.VirtualFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({
    instances: 24,
    zones: 3,
    bounds: createBounds(leavingMs),
  });
  const registered = Array.from({length: UPSTREAMS}, (_, index) =>
    fleet.store.create(
      KIND,
      nameOf(index),
      fixture.createEntry(`192.0.2.${index}:80`),
    ),
  );
  await fleet.clock.advance(SETTLE_MS);
  await Promise.all(registered);
  return fleet;
};

/**
 * Removes the entries of the first `count` upstreams, which leave without
 * notice.
 */
const removeEntries = async (
  {store, clock}: virtualFleet.VirtualFleet,
  count: number,
): Promise<void> => {
  const names = Array.from({length: count}, (_, index) => nameOf(index));
  const removed = names.map(async name => {
    const found = await store.get(KIND, name);
    await store.delete(KIND, name, found.unsafeCoerce().version);
  });
  await clock.advance(SAMPLE_INTERVAL_MS);
  await Promise.all(removed);
};

/**
 * Measures the time until no instance lists a removed upstream as ready, in ms;
 * stops at `limitMs`.
 */
const measureUse = async (
  {clock, live}: virtualFleet.VirtualFleet,
  limitMs: number,
): Promise<number> => {
  const isUsed = (): boolean =>
    live().some(({get}) =>
      get('catalog')
        .all()
        .some(
          ({upstream}) =>
            upstream.state === 'ready' &&
            Number(upstream.id.split('-').at(-1)) < LEAVING,
        ),
    );
  const startedAtMs = clock.now();
  while (isUsed() && clock.now() - startedAtMs < limitMs) {
    await clock.advance(SAMPLE_INTERVAL_MS);
  }
  return clock.now() - startedAtMs;
};

/**
 * Measures, in ms, how long removed upstreams stay in use when all watchers
 * lose power `afterMs` after the fleet has settled.
 */
const measureWithoutWatchers = async (
  leavingMs: number,
  afterMs: number,
): Promise<number> => {
  const fleet = await startFleet(leavingMs);
  await fleet.clock.advance(afterMs);
  const watchers = fleet.live().filter(({get}) => get('watchRole').isWatcher());
  chai.expect(watchers).not.empty;
  watchers.forEach(({id}) => {
    fleet.cutPower(id);
  });
  await removeEntries(fleet, LEAVING);
  return measureUse(fleet, 3 * leavingMs);
};

describe('removal of upstreams while the watchers fail', () => {
  for (const leavingMs of [2_000, 3_000, 4_000]) {
    it(`reaches all other instances within ${leavingMs} ms`, async () => {
      // Guards against requests that reach engines seconds after these have
      // left.
      const usedMs: number[] = [];
      for (const afterMs of WATCHER_LOSS_DELAYS_MS) {
        usedMs.push(await measureWithoutWatchers(leavingMs, afterMs));
      }
      chai.expect(Math.max(...usedMs)).below(leavingMs);
    });
  }
});

describe('removal of upstreams during a loss of the store', () => {
  it('reaches an isolated instance soon after it reconnects', async () => {
    // Guards against an instance that takes its own isolation for an outage of
    // the store, and goes on sending requests to engines that were reported as
    // gone.
    const fleet = await startFleet(3_000);
    const isFollower = ({get}: virtualFleet.VirtualInstance) =>
      !get('watchRole').isWatcher();
    const alone = fleet.live().find(isFollower);
    fleet.isolate(alone?.id ?? '');
    await removeEntries(fleet, LEAVING);
    await fleet.clock.advance(STORE_LOSS_MS);
    fleet.heal();
    chai.expect(await measureUse(fleet, 5_000)).below(MAX_CATCH_UP_MS);
  });

  it('is deferred after an outage of the store for all', async () => {
    // Entries of live upstreams expire during an outage. Guards against an
    // instance that drops them all and has none afterwards.
    const fleet = await startFleet(3_000);
    fleet.setStoreFault('down');
    await fleet.clock.advance(STORE_LOSS_MS);
    fleet.setStoreFault('none');
    await removeEntries(fleet, LEAVING);
    const usedMs = await measureUse(fleet, 5_000);
    chai.expect(usedMs).above(1_500).and.below(3_000);
  });
});
