/**
 * How much of what a cold upstream bears one instance may use, without asking
 * the others.
 *
 * Load: a zone's upstreams that come back cold together, and every instance
 * with requests waiting for them. Harm prevented: each instance sends the
 * little that one may, and together they make the upstream fall over. Shares
 * need no message, so they hold also between instances that are cut off from
 * each other.
 */
import * as instanceShare from './instance-share.js';

/** What a cold upstream bears, in requests a second from all instances. */
export interface ColdLimit {
  readonly perSecond: number;
  /** Factor on the rate that operators let pass. */
  readonly overrun: number;
  /** Requests on top. */
  readonly slack: number;
}

/**
 * Part of the limit that is shared out. The rest covers an instance that is
 * not yet known to the others, and requests that were held up on their way and
 * arrive together.
 */
const SHARED_FRACTION = 0.7;

/** Requests a second that an instance may send while it knows no others. */
const NEW_INSTANCE_RATE = 1;

/**
 * Time after its start in which an instance does not know all others, in ms:
 * of many that start together each hears of the rest by way of a few.
 */
const NEW_INSTANCE_MS = 3_000;

/**
 * Requests a second that one instance may send to a cold upstream; 0 for none.
 *
 * Guards against instances that all start again at once: each knows itself
 * alone, takes the whole of what a cold upstream bears, and together they make
 * it fall over. In its first seconds an instance takes little, whomever it
 * knows.
 *
 * @param instances all instances that may send, this one included.
 * @param uptimeMs time since this instance started.
 */
export const findColdShare = (
  limit: ColdLimit,
  upstream: string,
  self: string,
  instances: readonly string[],
  uptimeMs: number,
): number => {
  const total =
    (limit.perSecond * limit.overrun + limit.slack) * SHARED_FRACTION;
  const share = instanceShare.findInstanceShare(
    total,
    upstream,
    self,
    instances,
  );
  return uptimeMs < NEW_INSTANCE_MS
    ? Math.min(share, NEW_INSTANCE_RATE)
    : share;
};
