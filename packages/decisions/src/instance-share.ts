/**
 * Divides a number of requests among instances without exchanging messages:
 * every instance computes the same shares from the members that it knows. The
 * drawback is that the share of an idle instance is not used. Pure functions.
 */
import * as rendezvous from './rendezvous.js';

/**
 * Number of requests, of `total`, that one instance may send; may be 0.
 *
 * @param key what the requests are for. It selects the instances that may send
 *     one request when there are fewer requests than instances.
 * @param instances all instances that may send, including this one.
 */
export const findInstanceShare = (
  total: number,
  key: string,
  self: string,
  instances: readonly string[],
): number => {
  const share = Math.floor(total / Math.max(1, instances.length));
  if (share >= 1) {
    return share;
  }
  const holders = rendezvous.rankByRendezvous(
    key,
    instances,
    Math.floor(total),
  );
  return holders.includes(self) ? 1 : 0;
};

/**
 * As `findInstanceShare`, but with the remainder divided too: the shares of all
 * instances add up to `total`.
 */
export const findWholeShare = (
  total: number,
  key: string,
  self: string,
  instances: readonly string[],
): number => {
  const count = Math.max(1, instances.length);
  const share = Math.floor(total / count);
  const holders = rendezvous.rankByRendezvous(
    key,
    instances,
    Math.floor(total) % count,
  );
  return share + (holders.includes(self) ? 1 : 0);
};
