import * as chai from 'chai';
import * as membership from '@amaranthknot/membership';
import * as fleets from './fleet.js';

const PROPAGATION_MS = 3_000;

describe('ConfigurationFollower', () => {
  it('brings a change to all instances within 3 s', async () => {
    const fleet = await fleets.createFleet(1);
    chai.expect(fleet.isActive(1)).equal(true);
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isActive(2),
      PROPAGATION_MS,
    );
    chai.expect(isDone).equal(true);
    const versions = fleet.members.map(
      member =>
        member.follower.activeConfiguration()?.document.models[0]
          ?.defaultVersion,
    );
    chai.expect(new Set(versions)).eql(new Set(['v2']));
  });

  // Guards against callers that still get a withdrawn version: the platform
  // answers reads with old data, to instances that have the newer configuration
  // and to one that just started.
  it('does not revert when the platform gives stale answers', async () => {
    const fleet = await fleets.createFleet(2);
    await fleet.publish('v2');
    await fleet.clock.advance(PROPAGATION_MS);
    fleet.store.fault = operation => (operation === 'get' ? 'stale' : 'none');
    const added = fleet.add();
    void added.follower.start();
    await fleet.clock.advance(30_000);
    chai
      .expect(fleet.members.map(member => member.activated.at(-1)))
      .eql(fleet.members.map(() => 2));
    for (const {activated} of fleet.members) {
      chai.expect(activated).eql([...activated].sort((a, b) => a - b));
    }
  });

  // Guards against a zone that keeps an old configuration because all of its
  // watchers died just before the change.
  it('brings a change to a zone whose watchers died', async () => {
    const fleet = await fleets.createFleet(3, 12, ['a', 'b', 'c']);
    const watchers = fleet.members.filter(
      member => member.peer.zone === 'a' && member.follower.isWatcher(),
    );
    watchers.forEach(member => fleet.kill(member));
    chai.expect(watchers.length).equal(membership.WATCHERS_PER_ZONE);
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isActive(2),
      PROPAGATION_MS,
    );
    chai.expect(isDone).equal(true);
  });

  // One instance can't reach the platform, but its peers can. It learns of
  // every change in time, so it must go on taking work.
  it('follows through its peers when cut off from the platform', async () => {
    const fleet = await fleets.createFleet(4);
    const [cut] = fleet.members;
    cut!.isCutFromPlatform = true;
    await fleet.clock.advance(20_000);
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isActive(2),
      PROPAGATION_MS,
    );
    chai.expect(isDone).equal(true);
    chai.expect(cut!.follower.standing()).equal('confirmed');
  });

  // An instance is replaced during a long outage of the platform. The new one
  // must serve what the others serve, without waiting for the platform.
  for (const isListOut of [false, true]) {
    const list = isListOut ? 'without' : 'with';
    it(`starts from peers in an outage, ${list} the list`, async () => {
      const fleet = await fleets.createFleet(5);
      fleet.store.fault = () => 'down';
      fleet.isListOut = isListOut;
      await fleet.clock.advance(10_000);
      const added = fleet.add();
      void added.follower.start();
      await fleet.clock.advance(5_000);
      chai.expect(added.follower.activeGeneration()).equal(1);
      chai.expect(added.follower.mayTakeWork()).equal(true);
    });
  }

  // In an outage of the platform nobody can accept a change, so every instance
  // must go on taking work.
  it('takes work through an outage of the platform', async () => {
    const fleet = await fleets.createFleet(6);
    fleet.store.fault = () => 'down';
    for (let minute = 0; minute < 10; minute++) {
      await fleet.clock.advance(60_000);
      const standings = fleet.members.map(({follower}) => follower.standing());
      chai.expect(new Set(standings)).eql(new Set(['platform_out']));
    }
  });

  // Guards against new work in a zone that was taken out, on an instance that
  // was cut off from platform and peers just before.
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

  // An instance that can reach the platform, but not its peers, must not stop:
  // it watches the platform itself, though it is not one of the watchers.
  it('watches the platform itself when cut off from its peers', async () => {
    const fleet = await fleets.createFleet(8, 12, ['a', 'b', 'c']);
    const cut = fleet.members.find(({follower}) => !follower.isWatcher());
    cut!.isCutFromPeers = true;
    // Too short for it to count enough peers as dead to be first in its zone.
    await fleet.clock.advance(5_000);
    chai.expect(cut!.follower.standing()).equal('confirmed');
    await fleet.publish('v2');
    const isDone = await fleet.clock.advanceUntil(
      () => fleet.isActive(2),
      PROPAGATION_MS,
    );
    chai.expect(isDone).equal(true);
    chai.expect(cut!.follower.standing()).equal('confirmed');
  });
});
