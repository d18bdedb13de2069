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
    title: 'sticky: keeps live replicas when a better-ranked peer joins',
    choose: ledger.selectStickyReplicas,
    current: ['b', 'c'],
    candidates: ['a', 'b', 'c'].map(id => createPeer(id)),
    chosen: ['b', 'c'],
  },
  {
    title: 'ranked: follows the ranking',
    choose: ledger.selectRankedReplicas,
    current: ['b', 'c'],
    candidates: ['a', 'b', 'c'].map(id => createPeer(id)),
    chosen: ['a', 'b'],
  },
  {
    title: 'sticky: replaces only the replica that left',
    choose: ledger.selectStickyReplicas,
    current: ['b', 'c'],
    candidates: ['a', 'c', 'd'].map(id => createPeer(id)),
    chosen: ['c', 'a'],
  },
  {
    title: 'sticky: prefers a zone without a copy',
    choose: ledger.selectStickyReplicas,
    current: [],
    candidates: [createPeer('a', 'x'), createPeer('b', 'x'), createPeer('c')],
    chosen: ['a', 'c'],
  },
  {
    // Both copies were made while zone y was down. If both stayed in zone x, a
    // failure of zone x together with the owner would lose the bills.
    title: 'sticky: moves a copy when another zone comes back',
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
    title: 'sticky: takes two peers in one zone when there is no other zone',
    choose: ledger.selectStickyReplicas,
    current: [],
    candidates: [createPeer('a', 'x'), createPeer('b', 'x')],
    chosen: ['a', 'b'],
  },
];

describe('ReplicaSelector', () => {
  for (const {title, choose, current, candidates, chosen} of choices) {
    it(title, () => {
      expect(choose(current, candidates, 2)).to.deep.equal(chosen);
    });
  }
});

describe('BillReplicator', () => {
  /** A replicator to peers of which those in `dead` accept no batch. */
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

  it('sends all pending bills to a new replica, then new ones only', async () => {
    const {copies, sent, batch} = createCopies(['a', 'b']);
    expect(await copies.replicate(batch)).to.equal(2);
    await copies.replicate(batch);
    expect(sent.map(entry => entry.bills)).to.deep.equal([3, 3, 1, 1]);
  });

  // Without a replacement, the next bill and all earlier ones would have only
  // one copy.
  it('replaces a replica that does not accept a batch', async () => {
    const {copies, dead, sent, batch} = createCopies(['a', 'b', 'c']);
    await copies.replicate(batch);
    dead.add('a');
    expect(await copies.replicate(batch)).to.equal(2);
    expect(sent.at(-1)).to.deep.equal({peer: 'c', bills: 3});
  });

  it('counts only peers that accepted the batch', async () => {
    const {copies, dead, batch} = createCopies(['a', 'b']);
    dead.add('b');
    expect(await copies.replicate(batch)).to.equal(1);
  });

  it('sends nothing on a refresh that keeps the replicas', async () => {
    const {copies, sent, batch} = createCopies(['a', 'b', 'c']);
    await copies.replicate(batch);
    const before = sent.length;
    expect(await copies.refreshReplicas('instance-a')).to.equal(2);
    expect(sent.length).to.equal(before);
  });
});
