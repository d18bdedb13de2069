/** Wires copies of pending bills: to peers in other zones, and for them. */
import * as decisions from '@amaranthknot/decisions';
import * as ledger from '@amaranthknot/ledger';
import * as protocol from '@amaranthknot/protocol';
import type * as instanceComponents from './instance-components.js';

/** Copies of a pending bill that survive the loss of an instance and a zone. */
export const BILL_COPY_QUORUM = 2;

/** Time for one message, in milliseconds; below the keeper's own limit. */
const MESSAGE_TIMEOUT_MS = 250;

/** Peers considered for copies, by rank; a few more than are needed. */
const MAX_CANDIDATES = 8;

/**
 * An instance that is suspected raises its incarnation by one; one that
 * restarts takes the wall time in milliseconds. A step beyond this is a
 * restart.
 */
const RESTART_STEP_MS = 1_000;

/** Identity of one start of an instance: its id and when it started. */
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

/** Live peers in other zones, ranked for this instance. */
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

/** Creates the copies of this instance's bills on peers. */
export const createPeerCopies = (
  get: instanceComponents.InstanceResolver,
): ledger.BillReplicator =>
  new ledger.BillReplicator({
    quorum: BILL_COPY_QUORUM,
    candidates: () => listCandidates(get),
    send: (candidate, batch) => sendCopies(get, candidate, batch),
    pending: () => get('bills').pending(),
  });

/** Takes copies from a peer; answers how many are held. */
export const storeCopies = (
  get: instanceComponents.InstanceResolver,
  params: protocol.Params<'copy_bills'>,
): protocol.Result<'copy_bills'> => {
  const bills = params.bills as readonly ledger.PendingBill[];
  const {owner: incarnation, writtenLanes} = params;
  const held = get('copyHolder').store({incarnation, bills, writtenLanes});
  return {accepted: held ? bills.length : 0};
};

/** Whether the start of an instance that left copies here is over. */
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

/** Renews this instance's copies and recovers bills of dead ones. */
export const maintainCopies = async (
  get: instanceComponents.InstanceResolver,
): Promise<void> => {
  await get('peerCopies').refreshReplicas(get('incarnation'));
  const recovered = await get('copyHolder').recoverDead(
    incarnation => isDead(get, incarnation),
    (incarnation, pending) => get('bills').recover(incarnation, pending),
  );
  if (recovered > 0) {
    get('events').record('bills_recovered', {detail: `${recovered} bills`});
  }
};
