import * as chai from 'chai';
import * as membership from '@amaranthknot/membership';
import * as fleets from './fleet.js';

const SPREAD_MS = 3_000;

describe('ConfigurationFollower', () => {
  it('brings a change to all instances within 3 s', async () => {
    const fleet = await fleets.createFleet(1);
    chai.expect(fleet.isInForce(1)).equal(true);
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isInForce(2),
      SPREAD_MS,
    );
    chai.expect(isDone).equal(true);
    const versions = fleet.members.map(
      member =>
        member.follower.activeConfiguration()?.document.models[0]
          ?.defaultVersion,
    );
    chai.expect(new Set(versions)).eql(new Set(['v2']));
  });

  // An operator withdraws a version; some callers still get it for minutes.
  // The platform answers reads with what it held before, to instances that
  // have the newer configuration already and to one that just started.
  it('does not go back when the platform answers stale', async () => {
    const fleet = await fleets.createFleet(2);
    await fleet.publish('v2');
    await fleet.clock.advance(SPREAD_MS);
    fleet.store.fault = operation => (operation === 'get' ? 'stale' : 'none');
    const late = fleet.add();
    void late.follower.start();
    await fleet.clock.advance(30_000);
    chai
      .expect(fleet.members.map(member => member.taken.at(-1)))
      .eql(fleet.members.map(() => 2));
    for (const {taken} of fleet.members) {
      chai.expect(taken).eql([...taken].sort((a, b) => a - b));
    }
  });

  // One zone keeps an old configuration although its instances are healthy:
  // all of its watchers died just before the change.
  it('brings a change to a zone whose watchers died', async () => {
    const fleet = await fleets.createFleet(3, 12, ['a', 'b', 'c']);
    const watchers = fleet.members.filter(
      member => member.peer.zone === 'a' && member.follower.isWatcher(),
    );
    watchers.forEach(member => fleet.kill(member));
    chai.expect(watchers.length).equal(membership.WATCHERS_PER_ZONE);
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isInForce(2),
      SPREAD_MS,
    );
    chai.expect(isDone).equal(true);
  });

  // One instance can not reach the platform, its peers can. It must follow
  // along and go on taking work, as it learns of every change in time.
  it('follows by its peers when cut from the platform', async () => {
    const fleet = await fleets.createFleet(4);
    const [cut] = fleet.members;
    cut!.isCutFromPlatform = true;
    await fleet.clock.advance(20_000);
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isInForce(2),
      SPREAD_MS,
    );
    chai.expect(isDone).equal(true);
    chai.expect(cut!.follower.standing()).equal('confirmed');
  });

  // The platform is down for long and an instance is replaced meanwhile. The
  // new one must serve what the others serve, not wait for the platform.
  for (const isListOut of [false, true]) {
    const list = isListOut ? 'without' : 'with';
    it(`starts from peers in an outage, ${list} the list`, async () => {
      const fleet = await fleets.createFleet(5);
      fleet.store.fault = () => 'down';
      fleet.isListOut = isListOut;
      await fleet.clock.advance(10_000);
      const late = fleet.add();
      void late.follower.start();
      await fleet.clock.advance(5_000);
      chai.expect(late.follower.activeGeneration()).equal(1);
      chai.expect(late.follower.mayTakeWork()).equal(true);
    });
  }

  // The platform's outage lasts ten minutes. Nobody can accept a change in
  // it, so every instance goes on taking work.
  it('takes work through an outage of the platform', async () => {
    const fleet = await fleets.createFleet(6);
    fleet.store.fault = () => 'down';
    for (let minute = 0; minute < 10; minute++) {
      await fleet.clock.advance(60_000);
      const standings = fleet.members.map(({follower}) => follower.standing());
      chai.expect(new Set(standings)).eql(new Set(['platform_out']));
    }
  });

  // An operator takes a zone out and it gets new work a minute later: one
  // instance was cut off from platform and peers just before, and went on.
  it('takes no work 3 s after it was cut off from all', async () => {
    const fleet = await fleets.createFleet(7);
    for (const member of fleet.members) {
      member.isCutFromPlatform = true;
      member.isCutFromPeers = true;
      await fleet.clock.advance(3_000);
      chai.expect(member.follower.standing()).equal('isolated');
      member.isCutFromPlatform = false;
      member.isCutFromPeers = false;
      await fleet.clock.advance(10_000);
      chai.expect(member.follower.standing()).equal('confirmed');
    }
  });

  // Peers can not be reached, the platform can. The instance need not stop:
  // it watches the platform itself, though it is not one of the watchers.
  it('watches the platform itself when cut from its peers', async () => {
    const fleet = await fleets.createFleet(8, 12, ['a', 'b', 'c']);
    const cut = fleet.members.find(({follower}) => !follower.isWatcher());
    cut!.isCutFromPeers = true;
    // Before it holds enough peers for dead to be first in its zone.
    await fleet.clock.advance(5_000);
    chai.expect(cut!.follower.standing()).equal('confirmed');
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isInForce(2),
      SPREAD_MS,
    );
    chai.expect(isDone).equal(true);
    chai.expect(cut!.follower.standing()).equal('confirmed');
  });
});
