/** Wires copies of pending bills: to peers in other zones, and for them. */
import * as decisions from '@amaranthknot/decisions';
import * as ledger from '@amaranthknot/ledger';
import * as protocol from '@amaranthknot/protocol';
import type * as instanceTokens from './instance-tokens.js';

/** Copies of a pending bill that survive the loss of an instance and a zone. */
export const BILL_COPIES = 2;

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
export const nameIncarnation = (id: string, startedMs: number): string =>
  `${id}.${startedMs}`;

const splitIncarnation = (
  incarnation: string,
): {readonly id: string; readonly startedMs: number} => {
  const end = incarnation.lastIndexOf('.');
  return {
    id: incarnation.slice(0, end),
    startedMs: Number(incarnation.slice(end + 1)),
  };
};

const findPeer = (
  get: instanceTokens.Resolve,
  id: string,
): protocol.Peer | undefined =>
  get('peers')
    .all()
    .find(peer => peer.id === id);

/** Live peers in other zones, ranked for this instance. */
const listCandidates = (
  get: instanceTokens.Resolve,
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
      id: nameIncarnation(peer.id, peer.incarnation),
      zone: peer.zone,
    }));
};

const send = async (
  get: instanceTokens.Resolve,
  candidate: string,
  batch: ledger.CopyBatch,
): Promise<boolean> => {
  const peer = findPeer(get, splitIncarnation(candidate).id);
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
  get: instanceTokens.Resolve,
): ledger.PeerCopies =>
  new ledger.PeerCopies({
    quorum: BILL_COPIES,
    candidates: () => listCandidates(get),
    send: (candidate, batch) => send(get, candidate, batch),
    pending: () => get('bills').pending(),
  });

/** Takes copies from a peer; answers how many are held. */
export const holdCopies = (
  get: instanceTokens.Resolve,
  params: protocol.Params<'copy_bills'>,
): protocol.Result<'copy_bills'> => {
  const bills = params.bills as readonly ledger.PendingBill[];
  const {owner: incarnation, writtenLanes} = params;
  const held = get('copyHolder').hold({incarnation, bills, writtenLanes});
  return {accepted: held ? bills.length : 0};
};

/** Whether the start of an instance that left copies here is over. */
const isDead = (get: instanceTokens.Resolve, incarnation: string): boolean => {
  const {id, startedMs} = splitIncarnation(incarnation);
  const peer = findPeer(get, id);
  return (
    peer?.state === 'dead' ||
    (peer !== undefined && peer.incarnation > startedMs + RESTART_STEP_MS)
  );
};

/** Renews this instance's copies and recovers bills of dead ones. */
export const tendCopies = async (
  get: instanceTokens.Resolve,
): Promise<void> => {
  await get('peerCopies').changeMembership(get('incarnation'));
  const recovered = await get('copyHolder').recoverDead(
    incarnation => isDead(get, incarnation),
    (incarnation, pending) => get('bills').recover(incarnation, pending),
  );
  if (recovered > 0) {
    get('events').record('bills_recovered', {detail: `${recovered} bills`});
  }
};
