import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as fleets from './fleet.js';

const TASK = 'rollout/small';

const createFixture = (count: number) => {
  const clock = new fakes.VirtualClock();
  const store = new fakes.MemoryObjectStore({clock});
  const random = fleets.createRandom(1);
  const listed = Array.from(
    {length: count},
    (_, index): ports.ListedInstance => ({
      id: `entry-${index}`,
      role: 'entry',
      state: 'live',
      address: `10.0.0.${index}:80`,
      zone: 'a',
      serves: [],
    }),
  );
  const running: string[] = [];
  const fencings: number[] = [];
  const cut = new Set<string>();
  let tokens = 0;
  const members = listed.map(({id, address}) => {
    const peers = new membership.PeerTable({
      id,
      address,
      zone: 'a',
      state: 'live',
      incarnation: 1,
    });
    peers.applyList(listed, 0);
    const runner = new membership.LeasedTaskRunner({
      store: fleets.guardStore(store, () => cut.has(id)),
      clock,
      random,
      peers,
      createToken: () => `token-${++tokens}`,
    });
    const work: membership.LeasedTask = async term => {
      running.push(id);
      fencings.push(term.fencing);
      await clock.sleep(Infinity, term.signal);
      running.splice(running.indexOf(id), 1);
    };
    return {id, peers, runner, work};
  });
  const startAll = () => {
    members.forEach(({runner, work}) => runner.add(TASK, work));
  };
  return {clock, store, members, running, fencings, cut, startAll};
};

describe('LeasedTaskRunner', () => {
  it('runs a task on one instance, with calls that do not grow with the fleet', async () => {
    const costs: number[] = [];
    for (const count of [3, 40]) {
      const fixture = createFixture(count);
      fixture.startAll();
      await fixture.clock.advance(60_000);
      chai.expect(fixture.running.length).equal(1);
      const {get, create, update} = fixture.store.calls;
      costs.push(get + create + update);
    }
    chai.expect(costs[1]).closeTo(costs[0]!, 4);
  });

  // Guards against a rollout that stands still until a lease expires, or runs
  // in two places, when its holder is stopped for a new release.
  it('hands its tasks over before it leaves', async () => {
    const {clock, members, running, fencings, startAll} = createFixture(3);
    startAll();
    await clock.advance(20_000);
    const leaving = members.find(({id}) => id === running[0])!;
    leaving.peers.markLeaving();
    const stopping = leaving.runner.stop();
    await clock.advance(10);
    await stopping;
    chai.expect(running).eql([]);
    await clock.advance(3_400);
    chai.expect(running.length).equal(1);
    chai.expect(running[0]).not.equal(leaving.id);
    chai.expect(fencings[1]).greaterThan(fencings[0]!);
    leaving.runner.add(TASK, leaving.work);
    await clock.advance(20_000);
    chai.expect(running.length).equal(1);
  });

  // The holder of a rollout's lease is suddenly gone. The rollout must go on
  // elsewhere, with a higher fencing number, and never in both places.
  it('goes on elsewhere after its holder was cut off', async () => {
    const {clock, running, fencings, cut, startAll} = createFixture(3);
    startAll();
    await clock.advance(20_000);
    const [gone] = running;
    cut.add(gone!);
    const from = clock.now();
    const isTaken = await clock.advanceUntil(
      () => running.some(id => id !== gone),
      20_000,
    );
    chai.expect(isTaken).equal(true);
    chai.expect(clock.now() - from).within(7_000, 14_000);
    chai.expect(fencings[1]).greaterThan(fencings[0]!);
  });

  // The platform is down for longer than a lease. The holder must stop, since
  // nobody can tell whether it was replaced, and start again afterwards.
  it('stops its work when the lease cannot be renewed', async () => {
    const {clock, store, running, fencings, startAll} = createFixture(3);
    startAll();
    await clock.advance(10_000);
    store.fault = () => 'down';
    await clock.advance(13_000);
    chai.expect(running).eql([]);
    await clock.advance(600_000);
    chai.expect(running).eql([]);
    store.fault = () => 'none';
    await clock.advance(15_000);
    chai.expect(running.length).equal(1);
    chai.expect(fencings[1]).greaterThan(fencings[0]!);
  });

  // The work of a task fails at once each time. It must be tried again at a
  // limited rate, without ever giving up.
  it('retries failed work after a while', async () => {
    const {clock, members} = createFixture(1);
    let attempts = 0;
    members[0]!.runner.add(TASK, () => {
      attempts++;
      return Promise.reject(new Error('broken'));
    });
    await clock.advance(31_000);
    chai.expect(attempts).within(8, 12);
  });
});
