/** Judges the swaps by the rule CONFIG, as far as it is about time limits. */
import * as deployment from './deployment.js';

/** Time after the route's time limit by which a final answer is due, in ms. */
const LATE_MS = 500;

/** Least number of requests without an answer that breaks the rule. */
const MIN_UNANSWERED = 8;

/** How long the callers of swaps wait, so that the rule can be judged, in ms. */
export const SWAP_BUDGET_MS = 2_500;

/** What the callers of swaps saw. */
export interface SwapCounts {
  readonly swaps: number;
  /** Those without a final answer at the route's time limit. */
  readonly over: number;
  /** Those without one half a second later. */
  readonly unanswered: number;
  readonly isBroken: boolean;
}

/**
 * Counts the swaps that were sent from `fromMs` to `toMs`. Broken is the rule if
 * more than half of those that are unanswered at the time limit, and eight at
 * least, have no answer half a second later.
 */
export const judgeSwaps = (
  sent: readonly deployment.Sent[],
  fromMs: number,
  toMs: number,
): SwapCounts => {
  const swaps = sent.filter(
    ({target, atMs}) =>
      target.startsWith('/swap/') && atMs >= fromMs && atMs < toMs,
  );
  const countAfter = (limitMs: number): number =>
    swaps.filter(
      ({tookMs, isComplete}) =>
        tookMs === undefined || tookMs > limitMs || !isComplete,
    ).length;
  const over = countAfter(deployment.SWAP_TIMEOUT_MS);
  const unanswered = countAfter(deployment.SWAP_TIMEOUT_MS + LATE_MS);
  return {
    swaps: swaps.length,
    over,
    unanswered,
    isBroken: unanswered >= MIN_UNANSWERED && unanswered > over / 2,
  };
};
