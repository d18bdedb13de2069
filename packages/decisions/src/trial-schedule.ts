/**
 * When a request with a held part may be sent on trial, one at a time over all
 * instances, without messages that ask for it: instances take turns. Pure.
 */
import * as suspectPart from './suspect-part.js';

/** What the next trial of one part depends on. */
export interface TrialState {
  /** Ends of upstreams since the last answer that began. */
  readonly ends: readonly suspectPart.PartEnd[];
  readonly heldAtMs: number;
  /** Start of the last trial of any instance; -Infinity if none is known. */
  readonly trialAtMs: number;
  /** Ends of this instance's own trials; undefined while one goes on. */
  readonly ownTrialsEndedMs: readonly (number | undefined)[];
  /** Place of this instance in the order of those that may try, from 0. */
  readonly rank: number;
}

/**
 * Time since the last end until the first trials, in milliseconds. The first
 * comes soon, for parts that were only where upstreams ended for another reason.
 */
const TRIAL_DELAYS_MS = [500, 10_000, 300_000, 3_600_000];

/** Factor on the last delay for each further trial that an upstream ended by. */
const DELAY_FACTOR = 2;

/**
 * Time by which each further instance waits longer, in milliseconds. News of a
 * trial spread to all instances in less.
 */
const TURN_MS = 300;

/** Time for which the other instances wait for the outcome, in milliseconds. */
const OUTCOME_TIMEOUT_MS = 10_000;

/**
 * Time after the end of a trial's attempt in which it may turn out that its
 * upstream ended, in milliseconds.
 */
const VERDICT_MS = 500;

/** Whether the outcome of an own trial is known. */
export const isTrialOver = (
  endedAtMs: number | undefined,
  nowMs: number,
): boolean => endedAtMs !== undefined && nowMs - endedAtMs > VERDICT_MS;

const findDelayMs = (failures: number): number => {
  const last = TRIAL_DELAYS_MS.length - 1;
  const delayMs = TRIAL_DELAYS_MS[Math.min(failures, last)] ?? 0;
  return delayMs * DELAY_FACTOR ** Math.max(0, failures - last);
};

/** Whether this instance may send a request on trial now. */
export const isTrialDue = (state: TrialState, nowMs: number): boolean => {
  const {ends, heldAtMs, trialAtMs, ownTrialsEndedMs, rank} = state;
  const failed = ends.filter(({sentAtMs}) => sentAtMs > heldAtMs);
  const failures = suspectPart.countOccasions(failed);
  const lastEndMs = Math.max(heldAtMs, ...ends.map(({atMs}) => atMs));
  const dueAtMs = lastEndMs + findDelayMs(failures) + rank * TURN_MS;
  if (nowMs < dueAtMs) {
    return false;
  }
  if (ownTrialsEndedMs.length > 0) {
    return ownTrialsEndedMs.every(endedMs => isTrialOver(endedMs, nowMs));
  }
  const hasOutcome = lastEndMs >= trialAtMs;
  return hasOutcome || nowMs - trialAtMs >= OUTCOME_TIMEOUT_MS;
};
