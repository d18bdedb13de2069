import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';
import type * as protocol from '@amaranthknot/protocol';

const memberOf = (
  id: string,
  overrides: Partial<protocol.Member> = {},
): protocol.Member => ({
  id,
  zone: 'zone-a',
  callers: `${id}:1`,
  peers: `${id}:2`,
  start: 1,
  revision: 1,
  phase: 'serving',
  store: 'reached',
  cores: 1,
  ...overrides,
});

const namesOf = (members: readonly protocol.Member[]): readonly string[] =>
  members.map(({id}) => id).sort();

const createTable = (): fleet.MemberTable =>
  new fleet.MemberTable(memberOf('self'));

describe('MemberTable', () => {
  it('lists the instances that serve', () => {
    const table = createTable();
    table.merge(
      [
        memberOf('a'),
        memberOf('b', {phase: 'leaving'}),
        memberOf('c', {phase: 'starting'}),
      ],
      0,
    );
    chai.expect(namesOf(table.serving(0))).eql(['a', 'self']);
  });

  it('does not list an instance whose row stays unchanged', () => {
    // Guards against sending callers to an instance that lost power: peers pass
    // on its last row for ever.
    const table = createTable();
    table.merge([memberOf('a', {revision: 5})], 0);
    table.merge([memberOf('a', {revision: 5})], fleet.SILENT_MS + 1);
    chai.expect(namesOf(table.serving(fleet.SILENT_MS + 1))).eql(['self']);
  });

  it('does not list an unreachable instance until it restarts', () => {
    const table = createTable();
    table.merge([memberOf('a', {revision: 5})], 0);
    table.recordUnreachable('a', 0);
    chai.expect(namesOf(table.serving(1))).eql(['self']);
    table.merge([memberOf('a', {start: 2, revision: 0})], 2);
    chai.expect(namesOf(table.serving(2))).eql(['a', 'self']);
  });

  it('prefers a later start even with a lower revision', () => {
    const table = createTable();
    table.merge([memberOf('a', {start: 1, revision: 90})], 0);
    table.merge([memberOf('a', {start: 2, revision: 1, phase: 'starting'})], 1);
    table.merge([memberOf('a', {start: 1, revision: 95})], 2);
    chai.expect(table.peers(2)[0]?.start).equal(2);
  });

  it('counts silent instances for shares for a while longer', () => {
    // An instance that is cut off may still send, so the others must not take
    // over its share at once.
    const table = createTable();
    table.merge([memberOf('a')], 0);
    const later = fleet.SILENT_MS * 2;
    chai.expect(table.peers(later)).empty;
    chai.expect(table.idsForShares(later)).eql(['self', 'a']);
  });

  it('ignores rows of itself that others send', () => {
    const table = createTable();
    table.merge([memberOf('self', {start: 99, phase: 'leaving'})], 0);
    chai.expect(table.self.phase).equal('serving');
  });

  const wholeList = (...ids: readonly string[]): protocol.MemberListDelta => ({
    isWhole: true,
    changed: ids.map(id => memberOf(id)),
    gone: [],
  });

  /** A table with a watcher's list of two other instances. */
  const createFollowerTable = (): fleet.MemberTable => {
    const table = createTable();
    table.applyWatcherList('w', 'v1', wholeList('w', 'a'), 0);
    return table;
  };

  it('keeps instances that a watcher still lists, without a sign of life of their own', () => {
    const table = createFollowerTable();
    for (let nowMs = 0; nowMs <= 2 * fleet.SILENT_MS; nowMs += 400) {
      table.applyWatcherList('w', 'v1', undefined, nowMs);
    }
    const nowMs = 2 * fleet.SILENT_MS;
    chai.expect(namesOf(table.serving(nowMs))).eql(['a', 'self', 'w']);
    chai.expect(table.watcherListVersion('w')).equal('v1');
    chai.expect(table.watcherListVersion('x')).not.equal('v1');
  });

  it('ignores newer rows of a gone instance while a list of a watcher is valid', () => {
    // An instance loses power and its watcher drops it. Then another follower
    // passes on a row that is a little newer than the one known here. Callers
    // must not be sent to the dead instance again.
    const table = createFollowerTable();
    table.applyWatcherList('w', 'v2', wholeList('w'), 100);
    table.merge([memberOf('a', {revision: 7})], 200);
    chai.expect(namesOf(table.serving(200))).eql(['self', 'w']);
    table.merge([memberOf('a', {start: 2, revision: 0})], 300);
    chai.expect(namesOf(table.serving(300))).eql(['a', 'self', 'w']);
  });

  it('changes the version of the list when the life or phase of an instance changes', () => {
    const table = createTable();
    table.merge([memberOf('a')], 0);
    const version = table.listVersion(0);
    table.recordCaller(memberOf('a'), 100);
    chai.expect(table.listVersion(100)).equal(version);
    table.merge([memberOf('a', {revision: 3, phase: 'leaving'})], 200);
    chai.expect(table.listVersion(200)).not.equal(version);
  });

  it('brings a receiver to its own list by deltas', () => {
    // With the whole list at each change, a thousand starts would cost a
    // million rows.
    const sender = createTable();
    const receiver = new fleet.MemberTable(memberOf('told'));
    const send = (nowMs: number) => {
      const version = sender.listVersion(nowMs);
      const delta = sender.listDelta(receiver.watcherListVersion('self'));
      receiver.applyWatcherList('self', version, delta, nowMs);
      return delta;
    };
    sender.merge([memberOf('a'), memberOf('b')], 0);
    chai.expect(send(0)?.isWhole).equal(true);
    sender.recordCaller(memberOf('b'), 2_000);
    sender.merge([memberOf('c')], 2_000);
    const nowMs = fleet.SILENT_MS + 1;
    const delta = send(nowMs);
    chai.expect(delta?.isWhole).equal(false);
    chai.expect(namesOf(delta?.changed ?? [])).eql(['c']);
    chai.expect(delta?.gone).eql(['a']);
    chai
      .expect(namesOf(receiver.serving(nowMs)))
      .eql(['b', 'c', 'self', 'told']);
    chai.expect(send(nowMs)).equal(undefined);
  });

  it('lists an unanswering instance again after a while', () => {
    // Guards against one late answer that keeps an instance out of the
    // directory for as long as a watcher lists it, since no row of its own
    // arrives.
    const table = createFollowerTable();
    table.recordUnreachable('a', 0);
    chai.expect(namesOf(table.serving(0))).eql(['self', 'w']);
    for (let nowMs = 0; nowMs <= 4_000; nowMs += 400) {
      table.applyWatcherList('w', 'v1', undefined, nowMs);
    }
    chai.expect(namesOf(table.serving(4_000))).eql(['a', 'self', 'w']);
  });

  /** Two watchers; `a` is connected to the first one, the keeper. */
  const createWatchers = () => {
    const keeper = new fleet.MemberTable(memberOf('keeper'));
    const other = createTable();
    keeper.recordCaller(memberOf('a'), 0);
    const sendToOther = (nowMs: number) => {
      keeper.beat();
      const contents = keeper.groupMembersNewerThan(
        other.groupStates(nowMs),
        nowMs,
      );
      other.mergeGroups(keeper.groupStates(nowMs), contents, nowMs);
      return contents.length;
    };
    return {keeper, other, sendToOther};
  };

  it('keeps the members of a group as long as its beat rises', () => {
    const {keeper, other, sendToOther} = createWatchers();
    chai.expect(sendToOther(0)).equal(1);
    for (let nowMs = 400; nowMs <= 2 * fleet.SILENT_MS; nowMs += 400) {
      keeper.recordCaller(memberOf('a'), nowMs);
      chai.expect(sendToOther(nowMs)).equal(0);
    }
    const lastMs = 2 * fleet.SILENT_MS;
    chai.expect(namesOf(other.serving(lastMs))).eql(['a', 'keeper', 'self']);
    chai.expect(namesOf(other.serving(2 * lastMs))).eql(['self']);
  });

  it('drops an instance once its group drops it', () => {
    const {other, sendToOther} = createWatchers();
    sendToOther(0);
    sendToOther(2_100);
    chai.expect(namesOf(other.serving(2_100))).eql(['keeper', 'self']);
  });

  it('keeps an instance that has moved to another group', () => {
    const {other, sendToOther} = createWatchers();
    sendToOther(0);
    other.recordCaller(memberOf('a'), 1_000);
    sendToOther(2_100);
    chai.expect(namesOf(other.serving(2_100))).eql(['a', 'keeper', 'self']);
  });

  it('does not bring back a dead group that a peer still reports', () => {
    // A watcher is gone, and so are all instances connected to it. Two others
    // that report its group to each other must not keep it for ever.
    const {keeper, other, sendToOther} = createWatchers();
    sendToOther(0);
    const states = keeper.groupStates(0);
    const contents = keeper.groupMembersNewerThan([], 0);
    const laterMs = fleet.SILENT_MS + 1;
    other.mergeGroups(states, contents, laterMs);
    chai.expect(namesOf(other.serving(laterMs))).eql(['self']);
  });
});
