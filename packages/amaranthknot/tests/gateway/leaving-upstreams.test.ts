import * as chai from 'chai';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet that started at once knows itself, in ms. */
const SETTLE_MS = 6_000;

/** How often instances are looked at, in ms. */
const SAMPLE_INTERVAL_MS = 20;

/** Moments of a loss: what watchers know is older or younger at each. */
const LOST_AFTER_MS = [0, 150, 300, 600, 900, 1_200];

/** Time for which an instance, or all, can't reach the store, in ms. */
const CUT_MS = 4_000;

/** Time in which an instance that is back is told what it missed, in ms. */
const TOLD_AGAIN_MS = 1_500;

/** Upstreams that are registered, and those of them that leave. */
const UPSTREAMS = 12;
const LEAVING = 6;

const KIND = platform.STORE_KINDS.upstreams;

const nameOf = (index: number): string => `upstream-${index}`;

/** Bounds of a deployment that allows so long for a change. */
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

/** Removes the entries of some upstreams, as of those that leave unsaid. */
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

/** Time until no instance would use upstreams that left, in milliseconds. */
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
 * Time for which upstreams that left are used where watchers are lost, so long
 * after the fleet has settled, in milliseconds.
 */
const measureWithoutWatchers = async (
  leavingMs: number,
  afterMs: number,
): Promise<number> => {
  const fleet = await startFleet(leavingMs);
  await fleet.clock.advance(afterMs);
  const watchers = fleet.live().filter(({get}) => get('watching').isWatcher());
  chai.expect(watchers).not.empty;
  watchers.forEach(({id}) => {
    fleet.cutPower(id);
  });
  await removeEntries(fleet, LEAVING);
  return measureUse(fleet, 3 * leavingMs);
};

describe('upstreams that leave while instances lose their watchers', () => {
  for (const leavingMs of [2_000, 3_000, 4_000]) {
    it(`are left within ${leavingMs} ms by all others`, async () => {
      // Requests reached engines seconds after they had left.
      const usedMs: number[] = [];
      for (const afterMs of LOST_AFTER_MS) {
        usedMs.push(await measureWithoutWatchers(leavingMs, afterMs));
      }
      chai.expect(Math.max(...usedMs)).below(leavingMs);
    });
  }
});

describe('upstreams that leave while one instance is cut off', () => {
  it('are left by it soon after it is told again', async () => {
    // It took its own silence for an outage of the store, and went on sending
    // requests to engines that it had been told were gone.
    const fleet = await startFleet(3_000);
    const isFollower = ({get}: virtualFleet.VirtualInstance) =>
      !get('watching').isWatcher();
    const alone = fleet.live().find(isFollower);
    fleet.isolate(alone?.id ?? '');
    await removeEntries(fleet, LEAVING);
    await fleet.clock.advance(CUT_MS);
    fleet.heal();
    chai.expect(await measureUse(fleet, 5_000)).below(TOLD_AGAIN_MS);
  });

  it('are kept for a while where the store answered nobody', async () => {
    // Guards against a start from nothing after an outage, in which entries of
    // upstreams that live lapse.
    const fleet = await startFleet(3_000);
    fleet.setStoreFault('down');
    await fleet.clock.advance(CUT_MS);
    fleet.setStoreFault('none');
    await removeEntries(fleet, LEAVING);
    const usedMs = await measureUse(fleet, 5_000);
    chai.expect(usedMs).above(1_500).and.below(3_000);
  });
});
