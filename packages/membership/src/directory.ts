/**
 * Orders the addresses of entry instances for callers that ask which to use.
 */
import type * as protocol from '@amaranthknot/protocol';

/**
 * Time for which callers may cache an answer, in milliseconds. A leaving
 * instance goes on serving for longer than this after it is no longer offered,
 * so it bounds how long a planned stop takes. Callers that ask once in 10 s add
 * almost no load.
 */
export const DIRECTORY_MAX_AGE_MS = 10_000;

/**
 * Maximum number of addresses in one answer; more than a caller can try before
 * its deadline.
 */
const MAX_ADDRESSES = 8;

/** Addresses of entry instances, the best first. */
export interface Directory {
  readonly addresses: readonly string[];
  readonly maxAgeMs: number;
}

interface Ranked {
  readonly peer: protocol.Peer;
  readonly rank: number;
  readonly order: number;
}

/**
 * Orders instances for a caller in `zone`: its own zone first, then the others.
 * Instances that leave or are dead are never offered. Suspect ones come last,
 * but are offered, since one lost message is enough to become suspect. Within a
 * group the order is random, so that callers do not all choose the same
 * instance.
 */
export const orderAddresses = (
  zone: string | undefined,
  peers: readonly protocol.Peer[],
  random: () => number,
): Directory => {
  const addresses = peers
    .filter(peer => peer.state === 'live' || peer.state === 'suspect')
    .map((peer): Ranked => ({
      peer,
      rank: (peer.state === 'live' ? 0 : 2) + (peer.zone === zone ? 0 : 1),
      order: random(),
    }))
    .sort((a, b) => a.rank - b.rank || a.order - b.order)
    .slice(0, MAX_ADDRESSES)
    .map(ranked => ranked.peer.address);
  return {addresses, maxAgeMs: DIRECTORY_MAX_AGE_MS};
};
