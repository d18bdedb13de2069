/**
 * How many repeats all instances together leave unused. Pure.
 *
 * Load: upstreams begin to fail under all instances, which have sent few repeats
 * until then; some instances are killed or cut off meanwhile. Harm prevented:
 * repeats that are sent at once, and leave too little for what the allowances
 * grant within the same window.
 */
import type * as fleetSends from './fleet-sends.js';

/** What all instances together may repeat. */
export interface RepeatLimit {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Part of them that the allowances grant. */
  readonly allowance: number;
  /** Repeats allowed on top of the ratio. */
  readonly slack: number;
  /** Length of the window in which they are counted, in milliseconds. */
  readonly windowMs: number;
}

/**
 * Fraction of the slack that is kept for instances that don't know what was
 * sent before they started.
 */
const START_SLACK_FRACTION = 0.5;

/**
 * Repeats that are left in each window that ends within the length of one from
 * now, if the allowances are used whole.
 *
 * What was sent before all sends were known has left as much as the allowances
 * and the slack that is kept need since: instances that knew it kept to this.
 */
export const findUnusedRepeats = (
  {requests, repeats, repeatsByAge, knownForMs}: fleetSends.KnownSends,
  {ratio, allowance, slack, windowMs}: RepeatLimit,
): number => {
  const startSlack = START_SLACK_FRACTION * slack;
  const allowances = allowance * requests;
  if (knownForMs < windowMs) {
    return startSlack + allowances - repeats;
  }
  const limit = slack + ratio * requests;
  const [latest = 0] = repeatsByAge;
  // A window that begins now holds what is sent at this moment.
  const leftByAge = [latest, ...repeatsByAge.slice(0, -1)].map(
    (recent, age) => {
      const toCome = 1 - age / repeatsByAge.length;
      return limit - startSlack - recent - toCome * allowances;
    },
  );
  return Math.min(limit - repeats, ...leftByAge);
};
