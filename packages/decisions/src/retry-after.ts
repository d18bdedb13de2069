/**
 * When callers that are refused together are told to come back.
 *
 * Load: all upstreams of a service want no requests for some seconds, and the
 * callers of that time are refused. Harm prevented: told the same moment, they
 * all return in it, and the upstreams shed load again. Pure.
 */

/** Part of the wait over which the returns are spread after its end. */
const SPREAD_FRACTION = 0.25;

/**
 * Draws a time to come back, in milliseconds: never before the wait is over.
 *
 * @param random uniform random numbers in [0, 1).
 */
export const drawRetryAfterMs = (
  waitMs: number,
  random: () => number,
): number => waitMs * (1 + SPREAD_FRACTION * random());
