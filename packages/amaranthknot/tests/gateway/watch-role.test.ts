import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';
import type * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';
import * as gatewayState from '../../src/gateway/gateway-state.js';
import * as watchRole from '../../src/gateway/watch-role.js';

const FAILED: ports.StoreError = {code: 'unknown', message: 'no answer'};

const IDS = ['a', 'b', 'c', 'd', 'e'] as const;

interface Setup {
  readonly members: fleet.MemberTable;
  readonly watching: watchRole.WatchRole;
  readonly views: gatewayState.ViewsByKind;
  readonly wait: (ms: number) => void;
  readonly watchers: () => readonly string[];
}

/** State of instance `a` in a fleet of five, after the settling time. */
const setUp = (bounds = fixture.BOUNDS): Setup => {
  let nowMs = 0;
  const members = new fleet.MemberTable(fixture.createMember('a', 'a'));
  const views = fixture.createViews();
  const watching = new watchRole.WatchRole({
    now: () => nowMs,
    members,
    views,
    bounds,
    hasSeeds: true,
  });
  nowMs = 2_000;
  members.merge(
    IDS.slice(1).map(id => fixture.createMember(id, id)),
    nowMs,
  );
  return {
    members,
    watching,
    views,
    wait: ms => {
      nowMs += ms;
    },
    watchers: () => watching.findWatchers().map(({id}) => id),
  };
};

describe('WatchRole', () => {
  it('passes the role on from a watcher that has lost the store', () => {
    // The store refuses some instances, the watchers among them. Guards against
    // the others still relying on these: their data becomes stale, and they ask
    // the store one by one.
    const {members, wait, watchers} = setUp();
    const [lost = ''] = watchers().filter(id => id !== 'a');
    members.merge(
      [{...fixture.createMember(lost, lost), revision: 2, store: 'lost'}],
      2_000,
    );
    wait(300);
    chai.expect(watchers()).not.include(lost);
    chai.expect(watchers()).length(2);
  });

  it('keeps the roles when all instances have lost the store', () => {
    const {members, wait, watchers} = setUp();
    const before = watchers();
    members.setStore('lost');
    members.merge(
      IDS.slice(1).map(id => ({
        ...fixture.createMember(id, id),
        revision: 2,
        store: 'lost' as const,
      })),
      2_000,
    );
    wait(300);
    chai.expect(watchers()).eql(before);
  });

  it('reports the store as lost after failed calls for 1 s, and as reached at an answer', () => {
    const {members, watching, wait} = setUp();
    watching.recordStoreCall(FAILED);
    chai.expect(members.self.store).equal('reached');
    wait(1_000);
    watching.recordStoreCall(FAILED);
    chai.expect(members.self.store).equal('lost');
    watching.recordStoreCall(undefined);
    chai.expect(members.self.store).equal('reached');
  });

  it('probes the store periodically after it was lost', () => {
    // An instance that has lost the store watches nothing; without calls of its
    // own it would never learn that the store answers again.
    const {watching, views, wait} = setUp();
    views.configuration.replaceAll({objects: [], version: 1}, 3_000);
    watching.recordStoreCall(FAILED);
    wait(1_000);
    watching.recordStoreCall(FAILED);
    wait(300);
    chai.expect(watching.getSyncMode(views.configuration)).not.equal('ask');
    wait(5_000);
    views.configuration.replaceAll({objects: [], version: 2}, 8_300);
    chai.expect(watching.getSyncMode(views.configuration)).equal('ask');
  });

  for (const leavingMs of [2_000, 4_000, 17_000]) {
    it(`asks for upstreams in time when leaving may take ${leavingMs} ms`, () => {
      // Guards against an instance that asks so late that its own gap between
      // answers looks like an outage of the store.
      const {change} = fixture.BOUNDS;
      const {watching, views, wait} = setUp({
        ...fixture.BOUNDS,
        change: {...change, leavingMs},
      });
      views.upstreams.replaceAll({objects: [], version: 1}, 2_000);
      wait(0.8 * fleet.MAX_ANSWER_GAP_MS);
      chai.expect(watching.getSyncMode(views.upstreams)).not.equal('none');
    });
  }

  it('asks again some time after a failed call, although a watcher answers', () => {
    // Guards against an instance that, after one failed call long ago, relies
    // for ever on watchers that have lost the store.
    const {members, watching, views, wait} = setUp();
    views.upstreams.replaceAll({objects: [], version: 1}, 2_000);
    watching.recordStoreCall(FAILED);
    wait(3_000);
    IDS.slice(1).forEach(id => {
      members.recordKeeper(fixture.createMember(id, id), 5_000);
    });
    members.applyWatcherList('b.1', '1', undefined, 5_000);
    chai.expect(watching.getSyncMode(views.upstreams)).equal('ask');
    watching.recordStoreCall(FAILED);
    chai.expect(watching.getSyncMode(views.upstreams)).equal('none');
  });
});
