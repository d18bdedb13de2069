/**
 * Shares a number of requests out among instances without a message: every
 * instance works out the same shares from the members that it knows. What it
 * gives up is the share of an instance that has no work. Pure.
 */
import * as rendezvous from './rendezvous.js';

/**
 * Requests of `total` that one instance may send; 0 for none.
 *
 * @param key what the requests are for; it says who gets one where there are
 *     fewer requests than instances.
 * @param instances all instances that may send, this one included.
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
