import * as chai from 'chai';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/**
 * Time for which a stable fleet is observed, and the sampling interval, in ms.
 */
const OBSERVATION_MS = 10_000;
const SAMPLE_INTERVAL_MS = 100;

/** Maximum control traffic, in bytes per second and instance. */
const CONTROL_BYTES = 4_096;

/** Time within which all instances must know that one is gone, in ms. */
const LOSS_KNOWN_MS = 4_000;

/**
 * Counts samples in which a live instance does not list another live one as
 * serving.
 */
const countFalseLosses = async (
  {clock, live}: virtualFleet.VirtualFleet,
  forMs: number,
): Promise<number> => {
  let losses = 0;
  const count = live().length;
  for (let waitedMs = 0; waitedMs < forMs; waitedMs += SAMPLE_INTERVAL_MS) {
    await clock.advance(SAMPLE_INTERVAL_MS);
    for (const {get} of live()) {
      losses += count - get('members').serving(clock.now()).length;
    }
  }
  return losses;
};

const startFleet = async (
  instances: number,
): Promise<virtualFleet.VirtualFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({instances, zones: 6});
  await fleet.clock.advance(SETTLE_MS);
  return fleet;
};

const countCalls = ({store}: virtualFleet.VirtualFleet): number =>
  store.calls.list + store.calls.watch;

/** Number of instances that list `id` as serving. */
const countAwareInstances = (
  {clock, live}: virtualFleet.VirtualFleet,
  id: string,
): number =>
  live().filter(({get}) =>
    get('members')
      .serving(clock.now())
      .some(member => member.id === id),
  ).length;

describe('fleet membership', () => {
  for (const instances of [7, 73, 195]) {
    it(`has no false losses among ${instances} instances without faults`, async () => {
      // Guards against live instances that drop out of the directory for a
      // moment: callers then close their connections to them.
      const fleet = await startFleet(instances);
      chai.expect(await countFalseLosses(fleet, OBSERVATION_MS)).equal(0);
    });
  }

  it('starts for the first time with few calls to the store', async () => {
    // Guards against hundreds of instances that all list every kind of objects
    // at the store, because their seeds start at the same moment.
    const fleet = await virtualFleet.startVirtualFleet({
      instances: 73,
      zones: 6,
      isBootstrap: true,
    });
    await fleet.clock.advance(2_000);
    chai.expect(fleet.store.calls.list).below(40);
    const isSynced = ({get}: virtualFleet.VirtualInstance) =>
      get('state').isSynced();
    chai.expect(fleet.live().every(isSynced)).equal(true);
  });

  it('converges soon after one instance is gone, watcher or not', async () => {
    const fleet = await startFleet(73);
    const isWatcher = ({get}: virtualFleet.VirtualInstance) =>
      get('watchRole').isWatcher();
    const watcher = fleet.live().find(isWatcher)?.id ?? '';
    const other = fleet.live().find(found => !isWatcher(found))?.id ?? '';
    for (const id of [watcher, other]) {
      fleet.kill(id);
      await fleet.clock.advance(LOSS_KNOWN_MS);
      chai.expect(countAwareInstances(fleet, id)).equal(0);
      chai.expect(await countFalseLosses(fleet, 1_000)).equal(0);
    }
  });

  it('converges soon after a zone is gone', async () => {
    const fleet = await startFleet(73);
    const lost = fleet.live().filter(({zone}) => zone === 'zone-0');
    lost.forEach(({id}) => {
      fleet.kill(id);
    });
    await fleet.clock.advance(LOSS_KNOWN_MS);
    chai
      .expect(lost.map(({id}) => countAwareInstances(fleet, id)))
      .eql(lost.map(() => 0));
    chai.expect(await countFalseLosses(fleet, 1_000)).equal(0);
  });

  it('is complete on a restarted instance soon after its start', async () => {
    const fleet = await startFleet(73);
    fleet.kill('instance-40');
    fleet.restart('instance-40');
    await fleet.clock.advance(1_000);
    chai.expect(await countFalseLosses(fleet, 1_000)).equal(0);
  });
});

describe('control traffic without requests', () => {
  it('stays within the limit for control traffic', async () => {
    const fleet = await startFleet(73);
    const before = fleet.sentBytes();
    await fleet.clock.advance(OBSERVATION_MS);
    const perSecond = (fleet.sentBytes() - before) / (OBSERVATION_MS / 1_000);
    chai.expect(perSecond / 73).below(CONTROL_BYTES);
  });
});

describe('store calls of a fleet', () => {
  it('grow little with consecutive restarts', async () => {
    // Guards against instances that list everything from the store at each
    // start, although their peers have it: such calls made up most of the calls
    // of a day.
    const fleet = await startFleet(73);
    const before = countCalls(fleet);
    await fleet.clock.advance(4_000);
    const baseline = countCalls(fleet) - before;
    for (let index = 0; index < 20; index++) {
      const id = `instance-${10 + index}`;
      fleet.kill(id);
      fleet.restart(id);
      await fleet.clock.advance(200);
    }
    const restarting = countCalls(fleet) - before - baseline;
    chai.expect(restarting).below(1.5 * baseline);
  });

  it('are few while the store answers no instance', async () => {
    // Guards against every instance listing everything again and again because
    // its data is stale, although the watchers do so for all.
    const fleet = await startFleet(73);
    const before = countCalls(fleet);
    fleet.setStoreFault('down');
    await fleet.clock.advance(8_000);
    chai.expect(countCalls(fleet) - before).below(10 * 73);
    fleet.setStoreFault('none');
    await fleet.clock.advance(1_500);
    const ages = fleet
      .live()
      .map(({get}) => get('state').activeTable()?.ageMs ?? Infinity);
    chai.expect(Math.max(...ages)).below(1_500);
  });
});
