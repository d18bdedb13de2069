import * as chai from 'chai';
import * as ledger from '../src/index.js';
import * as fixtures from './support/fixtures.js';

const {expect} = chai;

const createPeer = (id: string, zone = `zone-${id}`) => ({id, zone});

const choices: readonly {
  readonly title: string;
  readonly choose: ledger.ReplicaSelector;
  readonly current: readonly string[];
  readonly candidates: readonly ledger.ReplicaCandidate[];
  readonly chosen: readonly string[];
}[] = [
  {
    title: 'loosely: keeps live replicas when a better one joins',
    choose: ledger.selectStickyReplicas,
    current: ['b', 'c'],
    candidates: ['a', 'b', 'c'].map(id => createPeer(id)),
    chosen: ['b', 'c'],
  },
  {
    title: 'tightly: follows the ranking',
    choose: ledger.selectRankedReplicas,
    current: ['b', 'c'],
    candidates: ['a', 'b', 'c'].map(id => createPeer(id)),
    chosen: ['a', 'b'],
  },
  {
    title: 'loosely: replaces only the one that left',
    choose: ledger.selectStickyReplicas,
    current: ['b', 'c'],
    candidates: ['a', 'c', 'd'].map(id => createPeer(id)),
    chosen: ['c', 'a'],
  },
  {
    title: 'prefers a zone without a copy',
    choose: ledger.selectStickyReplicas,
    current: [],
    candidates: [createPeer('a', 'x'), createPeer('b', 'x'), createPeer('c')],
    chosen: ['a', 'c'],
  },
  {
    // Both copies were made while zone y was away. It comes back, then zone x
    // dies together with the owner, and its answered bills are gone.
    title: 'loosely: moves a copy when another zone comes back',
    choose: ledger.selectStickyReplicas,
    current: ['a', 'b'],
    candidates: [
      createPeer('a', 'x'),
      createPeer('b', 'x'),
      createPeer('c', 'y'),
    ],
    chosen: ['a', 'c'],
  },
  {
    title: 'takes two in one zone when there is no other',
    choose: ledger.selectStickyReplicas,
    current: [],
    candidates: [createPeer('a', 'x'), createPeer('b', 'x')],
    chosen: ['a', 'b'],
  },
];

describe('choose replicas', () => {
  for (const {title, choose, current, candidates, chosen} of choices) {
    it(title, () => {
      expect(choose(current, candidates, 2)).to.deep.equal(chosen);
    });
  }
});

describe('BillReplicator', () => {
  /** Copies to peers of which those in `dead` do not answer. */
  const createCopies = (ids: readonly string[]) => {
    const pending = fixtures
      .createBills(3)
      .map(bill => ({lane: 'h.instance-a.0', bill}));
    const dead = new Set<string>();
    const sent: {readonly peer: string; readonly bills: number}[] = [];
    const copies = new ledger.BillReplicator({
      quorum: 2,
      candidates: () => ids.map(id => createPeer(id)),
      send: (peer, batch) => {
        sent.push({peer, bills: batch.bills.length});
        return Promise.resolve(!dead.has(peer));
      },
      pending: () => pending,
    });
    const batch = {
      incarnation: 'instance-a',
      bills: pending.slice(2),
      writtenLanes: [],
    };
    return {copies, dead, sent, batch};
  };

  it('sends everything pending to a new replica, then only new bills', async () => {
    const {copies, sent, batch} = createCopies(['a', 'b']);
    expect(await copies.replicate(batch)).to.equal(2);
    await copies.replicate(batch);
    expect(sent.map(entry => entry.bills)).to.deep.equal([3, 3, 1, 1]);
  });

  // A replica dies unnoticed; the next answer would end with one copy only,
  // and the earlier bills would have no second one either.
  it('replaces a replica that does not answer', async () => {
    const {copies, dead, sent, batch} = createCopies(['a', 'b', 'c']);
    await copies.replicate(batch);
    dead.add('a');
    expect(await copies.replicate(batch)).to.equal(2);
    expect(sent.at(-1)).to.deep.equal({peer: 'c', bills: 3});
  });

  it('counts only peers that hold the batch', async () => {
    const {copies, dead, batch} = createCopies(['a', 'b']);
    dead.add('b');
    expect(await copies.replicate(batch)).to.equal(1);
  });

  it('sends nothing on a change that leaves the quorum', async () => {
    const {copies, sent, batch} = createCopies(['a', 'b', 'c']);
    await copies.replicate(batch);
    const before = sent.length;
    expect(await copies.refreshReplicas('instance-a')).to.equal(2);
    expect(sent.length).to.equal(before);
  });
});
