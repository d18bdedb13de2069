import * as chai from 'chai';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet that started at once knows itself, in ms. */
const SETTLE_MS = 6_000;

/** Time for which a calm fleet is looked at, in ms, and how often. */
const OBSERVATION_MS = 10_000;
const SAMPLE_INTERVAL_MS = 100;

/** Most bytes that control may send, a second and instance. */
const CONTROL_BYTES = 4_096;

/** Time by which all know that an instance is gone, in ms. */
const LOSS_KNOWN_MS = 4_000;

/** Beliefs that an instance that serves does not serve. */
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

/** Instances that take `id` for one that serves. */
const countAwareInstances = (
  {clock, live}: virtualFleet.VirtualFleet,
  id: string,
): number =>
  live().filter(({get}) =>
    get('members')
      .serving(clock.now())
      .some(member => member.id === id),
  ).length;

describe('who lives in a fleet', () => {
  for (const instances of [7, 73, 195]) {
    it(`is known of ${instances} on a calm day`, async () => {
      // Live instances fell out of the directory for a moment, and callers
      // closed their connections to them.
      const fleet = await startFleet(instances);
      chai.expect(await countFalseLosses(fleet, OBSERVATION_MS)).equal(0);
    });
  }

  it('is known again soon after one is gone, a watcher or not', async () => {
    const fleet = await startFleet(73);
    const isWatcher = ({get}: virtualFleet.VirtualInstance) =>
      get('watching').isWatcher();
    const watcher = fleet.live().find(isWatcher)?.id ?? '';
    const other = fleet.live().find(found => !isWatcher(found))?.id ?? '';
    for (const id of [watcher, other]) {
      fleet.kill(id);
      await fleet.clock.advance(LOSS_KNOWN_MS);
      chai.expect(countAwareInstances(fleet, id)).equal(0);
      chai.expect(await countFalseLosses(fleet, 1_000)).equal(0);
    }
  });

  it('is known again soon after a zone is gone', async () => {
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

  it('is known to an instance soon after its start', async () => {
    const fleet = await startFleet(73);
    fleet.kill('instance-40');
    fleet.restart('instance-40');
    await fleet.clock.advance(1_000);
    chai.expect(await countFalseLosses(fleet, 1_000)).equal(0);
  });
});

describe('what instances tell each other at rest', () => {
  it('stays within the bytes for control', async () => {
    const fleet = await startFleet(73);
    const before = fleet.sentBytes();
    await fleet.clock.advance(OBSERVATION_MS);
    const perSecond = (fleet.sentBytes() - before) / (OBSERVATION_MS / 1_000);
    chai.expect(perSecond / 73).below(CONTROL_BYTES);
  });
});

describe('what a fleet asks of the store', () => {
  it('does not grow with restarts, one after the other', async () => {
    // Each of hundreds listed all that there is at its start, though its
    // peers knew it: most of the calls of a day were these.
    const fleet = await startFleet(73);
    const before = countCalls(fleet);
    await fleet.clock.advance(4_000);
    const calm = countCalls(fleet) - before;
    for (let index = 0; index < 20; index++) {
      const id = `instance-${10 + index}`;
      fleet.kill(id);
      fleet.restart(id);
      await fleet.clock.advance(200);
    }
    const restarting = countCalls(fleet) - before - calm;
    chai.expect(restarting).below(1.5 * calm);
  });

  it('is little while the store answers nobody', async () => {
    // Every instance found what it knew too old, and asked for all of it again
    // and again, though its watchers did so for all.
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
