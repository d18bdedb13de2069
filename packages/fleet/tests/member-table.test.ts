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
  beat: 1,
  phase: 'serving',
  store: 'reached',
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

  it('no longer names one whose beat stands still', () => {
    // Callers are sent to an instance that lost its power; peers pass its last
    // beat on for ever.
    const table = createTable();
    table.merge([memberOf('a', {beat: 5})], 0);
    table.merge([memberOf('a', {beat: 5})], fleet.SILENT_MS + 1);
    chai.expect(namesOf(table.serving(fleet.SILENT_MS + 1))).eql(['self']);
  });

  it('no longer names one that refuses connections, until it is back', () => {
    const table = createTable();
    table.merge([memberOf('a', {beat: 5})], 0);
    table.noteUnreachable('a', 0);
    chai.expect(namesOf(table.serving(1))).eql(['self']);
    table.merge([memberOf('a', {start: 2, beat: 0})], 2);
    chai.expect(namesOf(table.serving(2))).eql(['a', 'self']);
  });

  it('takes a new start for news even if it has counted less', () => {
    const table = createTable();
    table.merge([memberOf('a', {start: 1, beat: 90})], 0);
    table.merge([memberOf('a', {start: 2, beat: 1, phase: 'starting'})], 1);
    table.merge([memberOf('a', {start: 1, beat: 95})], 2);
    chai.expect(table.peers(2)[0]?.start).equal(2);
  });

  it('shares with silent instances for a while longer', () => {
    // One that is cut off may still send: its share must not be given away.
    const table = createTable();
    table.merge([memberOf('a')], 0);
    const later = fleet.SILENT_MS * 2;
    chai.expect(table.peers(later)).empty;
    chai.expect(table.namesForShares(later)).eql(['self', 'a']);
  });

  it('does not believe others about itself', () => {
    const table = createTable();
    table.merge([memberOf('self', {start: 99, phase: 'leaving'})], 0);
    chai.expect(table.self.phase).equal('serving');
  });

  /** A table that a watcher has told of two others. */
  const createTold = (): fleet.MemberTable => {
    const table = createTable();
    table.takeTold('w', 'v1', [memberOf('w'), memberOf('a')], 0);
    return table;
  };

  it('keeps instances that a watcher goes on naming, without their beats', () => {
    const table = createTold();
    for (let nowMs = 0; nowMs <= 2 * fleet.SILENT_MS; nowMs += 400) {
      table.takeTold('w', 'v1', undefined, nowMs);
    }
    const nowMs = 2 * fleet.SILENT_MS;
    chai.expect(namesOf(table.serving(nowMs))).eql(['a', 'self', 'w']);
    chai.expect(table.toldVersion('w')).equal('v1');
    chai.expect(table.toldVersion('x')).not.equal('v1');
  });

  it('is not misled by old beats while a watcher tells who lives', () => {
    // An instance loses its power. Its watcher says so; then a peer that is
    // told as well passes on a beat that is a little newer than the one known
    // here, and callers were sent to the dead instance again.
    const table = createTold();
    table.takeTold('w', 'v2', [memberOf('w')], 100);
    table.merge([memberOf('a', {beat: 7})], 200);
    chai.expect(namesOf(table.serving(200))).eql(['self', 'w']);
    table.merge([memberOf('a', {start: 2, beat: 0})], 300);
    chai.expect(namesOf(table.serving(300))).eql(['a', 'self', 'w']);
  });

  it('names a list anew when who lives or serves has changed', () => {
    const table = createTable();
    table.merge([memberOf('a')], 0);
    const {version} = table.list(0);
    table.merge([memberOf('a', {beat: 2})], 100);
    chai.expect(table.list(100).version).equal(version);
    table.merge([memberOf('a', {beat: 3, phase: 'leaving'})], 200);
    chai.expect(table.list(200).version).not.equal(version);
  });

  it('forgets in a while that an instance did not answer', () => {
    // One answer that came late kept an instance out of the directory for as
    // long as a watcher told of it, since no beat of it was heard.
    const table = createTold();
    table.noteUnreachable('a', 0);
    chai.expect(namesOf(table.serving(0))).eql(['self', 'w']);
    for (let nowMs = 0; nowMs <= 4_000; nowMs += 400) {
      table.takeTold('w', 'v1', undefined, nowMs);
    }
    chai.expect(namesOf(table.serving(4_000))).eql(['a', 'self', 'w']);
  });
});
