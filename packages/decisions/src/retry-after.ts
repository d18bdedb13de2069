/**
 * `Retry-After`: what an upstream means by it, and when callers that are
 * refused together are told to come back.
 *
 * Load: all upstreams of a service want no requests for some seconds, and the
 * callers of that time are refused. Harm prevented: told the same moment, they
 * all return in it, and the upstreams shed load again. Pure.
 */
import * as parseAmount from './parse-amount.js';

const MS_PER_S = 1_000;

/**
 * Parses the value of a `Retry-After` in seconds, with or without a fraction,
 * to milliseconds; undefined if it is missing, malformed or negative.
 */
export const parseRetryAfterMs = (
  text: string | undefined,
): number | undefined => {
  const seconds = parseAmount.parseAmount(text);
  return seconds === undefined ? undefined : seconds * MS_PER_S;
};

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
