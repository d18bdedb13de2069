import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as gatewayState from '../../src/gateway/gateway-state.js';
import * as storeWatching from '../../src/gateway/store-watching.js';

const FAILED: ports.StoreError = {code: 'unknown', message: 'no answer'};

const IDS = ['a', 'b', 'c', 'd', 'e'] as const;

const createMember = (id: string): protocol.Member => ({
  id,
  zone: `zone-${id}`,
  callers: `${id}:1`,
  peers: `${id}:2`,
  start: 1,
  beat: 1,
  phase: 'serving',
  store: 'reached',
});

const createViews = (): gatewayState.Views => {
  const view = (kind: gatewayState.FollowedKind) =>
    new fleet.KindView(platform.STORE_KINDS[kind]);
  return {
    configuration: view('configuration'),
    upstreams: view('upstreams'),
    rollouts: view('rollouts'),
    evacuations: view('evacuations'),
  };
};

interface Setup {
  readonly members: fleet.MemberTable;
  readonly watching: storeWatching.StoreWatching;
  readonly views: gatewayState.Views;
  readonly wait: (ms: number) => void;
  readonly watchers: () => readonly string[];
}

/** Instance `a` of five, settled. */
const setUp = (): Setup => {
  let nowMs = 0;
  const members = new fleet.MemberTable(createMember('a'));
  const views = createViews();
  const change = {
    configurationMs: 2_000,
    leavingMs: 2_000,
    evacuationMs: 5_000,
    revocationMs: 5_000,
    stopGraceMs: 8_000,
    stabilityMs: 3_000,
  };
  const watching = new storeWatching.StoreWatching({
    now: () => nowMs,
    members,
    views,
    bounds: {
      change,
      retry: {ratio: 0.9, slack: 50, windowMs: 10_000},
      exposure: {share: 0.15, slack: 30, rollbackMs: 5_000},
      cold: {overrun: 1.5, slack: 5},
      sessionMs: 5_000,
      addressMaxAgeMs: 5_000,
    },
    hasSeeds: true,
  });
  nowMs = 2_000;
  members.merge(IDS.slice(1).map(createMember), nowMs);
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
    members.merge([{...createMember(lost), beat: 2, store: 'lost'}], 2_000);
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
        ...createMember(id),
        beat: 2,
        store: 'lost' as const,
      })),
      2_000,
    );
    wait(300);
    chai.expect(watchers()).eql(before);
  });

  it('change once calls have failed for a while, and back at an answer', () => {
    const {members, watching, wait} = setUp();
    watching.noteStoreCall(FAILED);
    chai.expect(members.self.store).equal('reached');
    wait(1_000);
    watching.noteStoreCall(FAILED);
    chai.expect(members.self.store).equal('lost');
    watching.noteStoreCall(undefined);
    chai.expect(members.self.store).equal('reached');
  });

  it('let one that has lost the store try it again now and then', () => {
    // It watches nothing any more; without a call of its own it would never
    // learn that the store answers it again.
    const {watching, views, wait} = setUp();
    views.configuration.replaceAll({objects: [], version: 1}, 3_000);
    watching.noteStoreCall(FAILED);
    wait(1_000);
    watching.noteStoreCall(FAILED);
    wait(300);
    chai.expect(watching.findNeed(views.configuration)).not.equal('ask');
    wait(5_000);
    views.configuration.replaceAll({objects: [], version: 2}, 8_300);
    chai.expect(watching.findNeed(views.configuration)).equal('ask');
  });
});
