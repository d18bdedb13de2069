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

/** Instance `a` of five, settled. */
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

describe('roles in watching the store', () => {
  it('pass on from a watcher that has lost the store', () => {
    // The store turns some instances away, the watchers among them. The others
    // relied on them still, found what they told too old, and asked the store
    // one by one.
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

  it('stay as they are where all have lost it', () => {
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

  it('change once calls have failed for a while, and back at an answer', () => {
    const {members, watching, wait} = setUp();
    watching.recordStoreCall(FAILED);
    chai.expect(members.self.store).equal('reached');
    wait(1_000);
    watching.recordStoreCall(FAILED);
    chai.expect(members.self.store).equal('lost');
    watching.recordStoreCall(undefined);
    chai.expect(members.self.store).equal('reached');
  });

  it('let one that has lost the store try it again now and then', () => {
    // It watches nothing any more; without a call of its own it would never
    // learn that the store answers it again.
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
    it(`ask in time for upstreams that may take ${leavingMs} ms to be left`, () => {
      // Its own silence looked like an outage of the store to an instance.
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

  it('let one whose call failed ask again, though a watcher answers it', () => {
    // Guards against an instance that never asks again: it relied on watchers
    // that had lost the store, for one call that had failed long before.
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
