/**
 * One instance's share of a cold upstream's capacity, computed without asking
 * the other instances.
 *
 * Load: all upstreams of a zone come back cold at once, while every instance
 * has requests waiting for them. Harm prevented: each instance uses the whole
 * small capacity, and together they make the upstream fail. Shares need no
 * messages, so they also hold between instances that cannot reach each other.
 */
import * as instanceShare from './instance-share.js';

/** Capacity of a cold upstream, over the requests of all instances. */
export interface ColdLimit {
  /** Rate that the upstream can take, in requests per second. */
  readonly perSecond: number;
  /** Factor on the rate up to which operators accept excess. */
  readonly overrun: number;
  /** Number of requests allowed in addition. */
  readonly slack: number;
}

/**
 * Fraction of the limit that is divided among instances: two parts of a fleet
 * that know only themselves use the whole limit together. The rest also covers
 * instances that the others don't know yet, and requests that were delayed on
 * their way and arrive together.
 */
const SHARED_FRACTION = 0.5;

/**
 * Time after its start in which an instance may not know all others, in ms.
 * When many start together, each learns of the rest through a few others.
 */
export const NEW_INSTANCE_MS = 3_000;

/**
 * Requests per second that one instance may send to a cold upstream; may be 0.
 *
 * An instance that may not know all others has no share: of any small rate that
 * each may use alone, hundreds of instances that start together make a flood.
 *
 * @param instances all instances that may send, including this one.
 * @param uptimeMs time for which this instance could learn of all others.
 */
export const findColdShare = (
  limit: ColdLimit,
  upstream: string,
  self: string,
  instances: readonly string[],
  uptimeMs: number,
): number => {
  if (uptimeMs < NEW_INSTANCE_MS) {
    return 0;
  }
  const total =
    (limit.perSecond * limit.overrun + limit.slack) * SHARED_FRACTION;
  return instanceShare.findWholeShare(total, upstream, self, instances);
};
