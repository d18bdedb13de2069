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

describe('member table', () => {
  it('names instances that serve', () => {
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

  it('no longer names one of which nothing new is heard', () => {
    // Callers are sent to an instance that lost its power; peers pass its last
    // beat on for ever.
    const table = createTable();
    table.merge([memberOf('a', {revision: 5})], 0);
    table.merge([memberOf('a', {revision: 5})], fleet.SILENT_MS + 1);
    chai.expect(namesOf(table.serving(fleet.SILENT_MS + 1))).eql(['self']);
  });

  it('no longer names one that refuses connections, until it is back', () => {
    const table = createTable();
    table.merge([memberOf('a', {revision: 5})], 0);
    table.recordUnreachable('a', 0);
    chai.expect(namesOf(table.serving(1))).eql(['self']);
    table.merge([memberOf('a', {start: 2, revision: 0})], 2);
    chai.expect(namesOf(table.serving(2))).eql(['a', 'self']);
  });

  it('takes a new start for news even if it has counted less', () => {
    const table = createTable();
    table.merge([memberOf('a', {start: 1, revision: 90})], 0);
    table.merge([memberOf('a', {start: 2, revision: 1, phase: 'starting'})], 1);
    table.merge([memberOf('a', {start: 1, revision: 95})], 2);
    chai.expect(table.peers(2)[0]?.start).equal(2);
  });

  it('shares with silent instances for a while longer', () => {
    // One that is cut off may still send: its share must not be given away.
    const table = createTable();
    table.merge([memberOf('a')], 0);
    const later = fleet.SILENT_MS * 2;
    chai.expect(table.peers(later)).empty;
    chai.expect(table.idsForShares(later)).eql(['self', 'a']);
  });

  it('does not believe others about itself', () => {
    const table = createTable();
    table.merge([memberOf('self', {start: 99, phase: 'leaving'})], 0);
    chai.expect(table.self.phase).equal('serving');
  });

  const wholeList = (...ids: readonly string[]): protocol.MemberListDelta => ({
    isWhole: true,
    changed: ids.map(id => memberOf(id)),
    gone: [],
  });

  /** A table that a watcher has told of two others. */
  const createTold = (): fleet.MemberTable => {
    const table = createTable();
    table.applyWatcherList('w', 'v1', wholeList('w', 'a'), 0);
    return table;
  };

  it('keeps instances that a watcher goes on naming, without a word of them', () => {
    const table = createTold();
    for (let nowMs = 0; nowMs <= 2 * fleet.SILENT_MS; nowMs += 400) {
      table.applyWatcherList('w', 'v1', undefined, nowMs);
    }
    const nowMs = 2 * fleet.SILENT_MS;
    chai.expect(namesOf(table.serving(nowMs))).eql(['a', 'self', 'w']);
    chai.expect(table.watcherListVersion('w')).equal('v1');
    chai.expect(table.watcherListVersion('x')).not.equal('v1');
  });

  it('is not misled by old rows while a watcher tells who lives', () => {
    // An instance loses its power. Its watcher says so; then a peer that is
    // told as well passes on a row that is a little newer than the one known
    // here, and callers were sent to the dead instance again.
    const table = createTold();
    table.applyWatcherList('w', 'v2', wholeList('w'), 100);
    table.merge([memberOf('a', {revision: 7})], 200);
    chai.expect(namesOf(table.serving(200))).eql(['self', 'w']);
    table.merge([memberOf('a', {start: 2, revision: 0})], 300);
    chai.expect(namesOf(table.serving(300))).eql(['a', 'self', 'w']);
  });

  it('names a list anew when who lives or serves has changed', () => {
    const table = createTable();
    table.merge([memberOf('a')], 0);
    const version = table.listVersion(0);
    table.recordCaller(memberOf('a'), 100);
    chai.expect(table.listVersion(100)).equal(version);
    table.merge([memberOf('a', {revision: 3, phase: 'leaving'})], 200);
    chai.expect(table.listVersion(200)).not.equal(version);
  });

  it('brings one that it tells to its own list, step by step', () => {
    // With the whole list at each change, a thousand starts cost a million
    // rows.
    const teller = createTable();
    const told = new fleet.MemberTable(memberOf('told'));
    const tell = (nowMs: number) => {
      const version = teller.listVersion(nowMs);
      const step = teller.listDelta(told.watcherListVersion('self'));
      told.applyWatcherList('self', version, step, nowMs);
      return step;
    };
    teller.merge([memberOf('a'), memberOf('b')], 0);
    chai.expect(tell(0)?.isWhole).equal(true);
    teller.recordCaller(memberOf('b'), 2_000);
    teller.merge([memberOf('c')], 2_000);
    const nowMs = fleet.SILENT_MS + 1;
    const step = tell(nowMs);
    chai.expect(step?.isWhole).equal(false);
    chai.expect(namesOf(step?.changed ?? [])).eql(['c']);
    chai.expect(step?.gone).eql(['a']);
    chai.expect(namesOf(told.serving(nowMs))).eql(['b', 'c', 'self', 'told']);
    chai.expect(tell(nowMs)).equal(undefined);
  });

  it('forgets in a while that an instance did not answer', () => {
    // One answer that came late kept an instance out of the directory for as
    // long as a watcher told of it, since no beat of it was heard.
    const table = createTold();
    table.recordUnreachable('a', 0);
    chai.expect(namesOf(table.serving(0))).eql(['self', 'w']);
    for (let nowMs = 0; nowMs <= 4_000; nowMs += 400) {
      table.applyWatcherList('w', 'v1', undefined, nowMs);
    }
    chai.expect(namesOf(table.serving(4_000))).eql(['a', 'self', 'w']);
  });

  /** Two watchers, one of which has `a` on the line. */
  const createWatchers = () => {
    const keeper = new fleet.MemberTable(memberOf('keeper'));
    const other = createTable();
    keeper.recordCaller(memberOf('a'), 0);
    const tellOther = (nowMs: number) => {
      keeper.beat();
      const contents = keeper.groupMembersNewerThan(
        other.groupStates(nowMs),
        nowMs,
      );
      other.mergeGroups(keeper.groupStates(nowMs), contents, nowMs);
      return contents.length;
    };
    return {keeper, other, tellOther};
  };

  it('knows of the instances of a group as long as it is kept up', () => {
    const {keeper, other, tellOther} = createWatchers();
    chai.expect(tellOther(0)).equal(1);
    for (let nowMs = 400; nowMs <= 2 * fleet.SILENT_MS; nowMs += 400) {
      keeper.recordCaller(memberOf('a'), nowMs);
      chai.expect(tellOther(nowMs)).equal(0);
    }
    const lastMs = 2 * fleet.SILENT_MS;
    chai.expect(namesOf(other.serving(lastMs))).eql(['a', 'keeper', 'self']);
    chai.expect(namesOf(other.serving(2 * lastMs))).eql(['self']);
  });

  it('drops an instance once the group that had it does', () => {
    const {other, tellOther} = createWatchers();
    tellOther(0);
    tellOther(2_100);
    chai.expect(namesOf(other.serving(2_100))).eql(['keeper', 'self']);
  });

  it('keeps an instance that has gone over to another group', () => {
    const {other, tellOther} = createWatchers();
    tellOther(0);
    other.recordCaller(memberOf('a'), 1_000);
    tellOther(2_100);
    chai.expect(namesOf(other.serving(2_100))).eql(['a', 'keeper', 'self']);
  });

  it('does not bring back a group that a peer still tells of', () => {
    // A watcher is gone with all on its line. Two others that told each other
    // of its group would keep it for ever.
    const {keeper, other, tellOther} = createWatchers();
    tellOther(0);
    const states = keeper.groupStates(0);
    const contents = keeper.groupMembersNewerThan([], 0);
    const laterMs = fleet.SILENT_MS + 1;
    other.mergeGroups(states, contents, laterMs);
    chai.expect(namesOf(other.serving(laterMs))).eql(['self']);
  });
});
