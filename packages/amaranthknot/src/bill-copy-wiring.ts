/**
 * Wires the replication of pending bills: sends copies to peers in other zones,
 * stores copies of theirs, and recovers the bills of dead instances.
 *
 * Guards against the loss of bills that are not written to the store yet when
 * their instance or its zone is lost.
 */
import * as decisions from '@amaranthknot/decisions';
import * as ledger from '@amaranthknot/ledger';
import * as protocol from '@amaranthknot/protocol';
import type * as instanceComponents from './instance-components.js';

/** Number of copies of a bill that survive the loss of an instance and a zone. */
export const BILL_COPY_QUORUM = 2;

/** Timeout of one message, in milliseconds; below the ledger's own limit. */
const MESSAGE_TIMEOUT_MS = 250;

/** Maximum number of candidates for copies; a few more than are needed. */
const MAX_CANDIDATES = 8;

/**
 * Increase of an incarnation above which it counts as a restart. A suspected
 * instance increments its incarnation by one; a restarted one sets it to the
 * wall time in milliseconds.
 */
const RESTART_STEP_MS = 1_000;

/** Formats the identity of one start of an instance, `<id>.<startedMs>`. */
export const formatIncarnation = (id: string, startedMs: number): string =>
  `${id}.${startedMs}`;

const parseIncarnation = (
  incarnation: string,
): {readonly id: string; readonly startedMs: number} => {
  const end = incarnation.lastIndexOf('.');
  return {
    id: incarnation.slice(0, end),
    startedMs: Number(incarnation.slice(end + 1)),
  };
};

const findPeer = (
  get: instanceComponents.InstanceResolver,
  id: string,
): protocol.Peer | undefined =>
  get('peers')
    .all()
    .find(peer => peer.id === id);

/** Live peers in other zones, ranked by rendezvous hashing for this instance. */
const listCandidates = (
  get: instanceComponents.InstanceResolver,
): readonly ledger.ReplicaCandidate[] => {
  const {id, zone} = get('peers').self();
  const live = get('peers')
    .all()
    .filter(peer => peer.state === 'live' && peer.zone !== zone);
  const byId = new Map(live.map(peer => [peer.id, peer]));
  const ids = [...byId.keys()];
  return decisions
    .rankByRendezvous(`bills/${id}`, ids, MAX_CANDIDATES)
    .map(found => byId.get(found))
    .filter(peer => peer !== undefined)
    .map(peer => ({
      id: formatIncarnation(peer.id, peer.incarnation),
      zone: peer.zone,
    }));
};

const sendCopies = async (
  get: instanceComponents.InstanceResolver,
  candidate: string,
  batch: ledger.CopyBatch,
): Promise<boolean> => {
  const peer = findPeer(get, parseIncarnation(candidate).id);
  if (!peer) {
    return false;
  }
  const answer = await protocol.callPeer(
    get('transport').send,
    peer.address,
    'copy_bills',
    {
      owner: batch.incarnation,
      bills: [...batch.bills],
      writtenLanes: [...batch.writtenLanes],
    },
    MESSAGE_TIMEOUT_MS,
  );
  return answer
    .map(({accepted}) => accepted === batch.bills.length)
    .orDefault(false);
};

/** Creates the replicator of this instance's pending bills. */
export const createBillReplicator = (
  get: instanceComponents.InstanceResolver,
): ledger.BillReplicator =>
  new ledger.BillReplicator({
    quorum: BILL_COPY_QUORUM,
    candidates: () => listCandidates(get),
    send: (candidate, batch) => sendCopies(get, candidate, batch),
    pending: () => get('bills').pending(),
  });

/** Stores copies for a peer; answers how many are stored: all or none. */
export const storeCopies = (
  get: instanceComponents.InstanceResolver,
  params: protocol.Params<'copy_bills'>,
): protocol.Result<'copy_bills'> => {
  const bills = params.bills as readonly ledger.PendingBill[];
  const {owner: incarnation, writtenLanes} = params;
  const isStored = get('copyStore').store({incarnation, bills, writtenLanes});
  return {accepted: isStored ? bills.length : 0};
};

/** Whether the instance with that incarnation is dead or has restarted. */
const isDead = (
  get: instanceComponents.InstanceResolver,
  incarnation: string,
): boolean => {
  const {id, startedMs} = parseIncarnation(incarnation);
  const peer = findPeer(get, id);
  return (
    peer?.state === 'dead' ||
    (peer !== undefined && peer.incarnation > startedMs + RESTART_STEP_MS)
  );
};

/** Refreshes the replicas of this instance, and recovers bills of dead ones. */
export const maintainCopies = async (
  get: instanceComponents.InstanceResolver,
): Promise<void> => {
  await get('billReplicator').refreshReplicas(get('incarnation'));
  const recovered = await get('copyStore').recoverDead(
    incarnation => isDead(get, incarnation),
    (incarnation, pending) => get('bills').recover(incarnation, pending),
  );
  if (recovered > 0) {
    get('events').record('bills_recovered', {detail: `${recovered} bills`});
  }
};
