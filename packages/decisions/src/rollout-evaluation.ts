/**
 * Decides which share of the sessions a new version gets: the share grows in
 * steps as evidence accumulates, and a version that turns bad is stopped.
 *
 * Load: a rollout on most days, with sessions on up to a thousand instances,
 * none of which sees enough answers to judge alone. Harm prevented: bad answers
 * that nobody notices, and a good version that is withdrawn by chance. The
 * state is plain JSON and stored with the rollout: any instance that takes the
 * lease resumes it under its own fencing number.
 */

import * as rendezvous from './rendezvous.js';
import * as rolloutEvidence from './rollout-evidence.js';
import * as sequentialTest from './sequential-test.js';

/** Result of one evaluation, with the share of sessions for the new version. */
export type RolloutDecision =
  | {readonly kind: 'hold'; readonly share: number}
  | {readonly kind: 'advance'; readonly share: number}
  | {readonly kind: 'stop'; readonly share: 0; readonly reason: StopReason};

/** Outcome in which a stopped version was worse than the old one. */
export type StopReason = 'errors' | 'latency' | 'ratings';

/** State of a rollout. Plain JSON. */
export interface RolloutState {
  /** Index in the steps of the rollout. */
  readonly step: number;
  /** Share of new sessions, 0 to 1, that the new version gets. */
  readonly share: number;
  readonly stopped?: StopReason;
  /** Evidence already counted in the ratios below. */
  readonly judged: rolloutEvidence.EvidenceByInstance;
  /** Rated answers of the new version so far. */
  readonly rated: number;
  readonly errors: sequentialTest.LogLikelihoodRatios;
  readonly latency: sequentialTest.LogLikelihoodRatios;
  readonly ratings: sequentialTest.LogLikelihoodRatios;
}

/** Input of one evaluation. */
export interface RolloutInput {
  /** Increasing shares of new sessions, 0 to 1; the last is 1. */
  readonly steps: readonly number[];
  readonly evidence: rolloutEvidence.EvidenceByInstance;
  /** Requests a second to the model, both versions together. */
  readonly requestRate: number;
  /** Delay of ratings, in seconds. */
  readonly ratingDelay: number;
}

/**
 * Bound on the probability that a good version is ever stopped. The requirement
 * is 1%; the bound of the mixture is not tight.
 */
const FALSE_STOP_RATE = 0.009;
/** Errors, latency and ratings: the false stop rate is divided among them. */
const TEST_COUNT = 3;
const STOP_BOUND = Math.log(TEST_COUNT / FALSE_STOP_RATE);
/** Log evidence against a version above which its share no longer grows. */
const DOUBT_BOUND = Math.log(3);
/** Bound on the probability that a worse version is cleared by chance. */
const FALSE_CLEARANCE_RATE = 0.02;
const CLEAR_BOUND = Math.log(1 / FALSE_CLEARANCE_RATE);
/**
 * Share above which a version must be cleared of being worse. Up to it, all of
 * its answers can be rated while the old version keeps most of the budget.
 */
const SMALL_SHARE = 0.02;
/** Answers that may await a rating before the first rating. */
const INITIAL_OUTSTANDING = 20;
/** Further answers that may await a rating, for each rating received. */
const OUTSTANDING_GROWTH = 0.3;
/** Rated answers of the new version needed for each step. */
const RATED_PER_STEP = 40;

/** Creates the state of a rollout that has not started. */
export const createRolloutState = (): RolloutState => ({
  step: 0,
  share: 0,
  judged: {},
  rated: 0,
  errors: sequentialTest.ZERO_LOG_RATIOS,
  latency: sequentialTest.ZERO_LOG_RATIOS,
  ratings: sequentialTest.ZERO_LOG_RATIOS,
});

const recordEvidence = (
  state: RolloutState,
  now: rolloutEvidence.EvidenceByInstance,
): RolloutState => {
  const {old: o, new: n} = rolloutEvidence.findNewEvidence(state.judged, now);
  return {
    ...state,
    judged: rolloutEvidence.mergeEvidence(state.judged, now),
    rated: state.rated + n.rated,
    errors: sequentialTest.addBlock(state.errors, {
      oldCount: o.requests,
      oldBad: o.errors,
      newCount: n.requests,
      newBad: n.errors,
    }),
    latency: sequentialTest.addBlock(state.latency, {
      oldCount: o.requests,
      oldBad: o.slow,
      newCount: n.requests,
      newBad: n.slow,
    }),
    ratings: sequentialTest.addBlock(state.ratings, {
      oldCount: o.rated,
      oldBad: o.bad,
      newCount: n.rated,
      newBad: n.bad,
    }),
  };
};

const listTests = (
  state: RolloutState,
): readonly (readonly [StopReason, number])[] => [
  ['errors', sequentialTest.findEvidenceAgainst(state.errors)],
  ['latency', sequentialTest.findEvidenceAgainst(state.latency)],
  ['ratings', sequentialTest.findEvidenceAgainst(state.ratings)],
];

const mayAdvance = (state: RolloutState, next: number): boolean => {
  const isDoubtful = listTests(state).some(([, e]) => e > DOUBT_BOUND);
  if (isDoubtful || state.rated < RATED_PER_STEP * (state.step + 1)) {
    return false;
  }
  const isSmall = next <= SMALL_SHARE;
  return (
    isSmall || sequentialTest.findEvidenceFor(state.ratings) >= CLEAR_BOUND
  );
};

/**
 * Limits the share so that no more answers await a rating than the evidence so
 * far justifies. Otherwise, at a high request rate, even a small step could
 * give thousands of bad answers before the first rating arrives.
 */
const boundShare = (state: RolloutState, input: RolloutInput): number => {
  const step = input.steps[state.step] ?? 1;
  const cleared = sequentialTest.findEvidenceFor(state.ratings) >= CLEAR_BOUND;
  if (cleared) {
    return step;
  }
  const outstanding = INITIAL_OUTSTANDING + OUTSTANDING_GROWTH * state.rated;
  const arriving = Math.max(1, input.requestRate * input.ratingDelay);
  return Math.min(step, outstanding / arriving);
};

/** Adds new evidence to the state and decides the share of the new version. */
export const evaluateRollout = (
  before: RolloutState,
  input: RolloutInput,
): {readonly state: RolloutState; readonly decision: RolloutDecision} => {
  if (before.stopped) {
    const reason = before.stopped;
    return {state: before, decision: {kind: 'stop', share: 0, reason}};
  }
  const judged = recordEvidence(before, input.evidence);
  const worse = listTests(judged).find(([, e]) => e >= STOP_BOUND);
  if (worse) {
    const [reason] = worse;
    const state = {...judged, share: 0, stopped: reason};
    return {state, decision: {kind: 'stop', share: 0, reason}};
  }
  const next = input.steps[judged.step + 1];
  const advances = next !== undefined && mayAdvance(judged, next);
  const stepped = advances ? {...judged, step: judged.step + 1} : judged;
  const share = boundShare(stepped, input);
  const kind = share > before.share ? 'advance' : 'hold';
  return {state: {...stepped, share}, decision: {kind, share}};
};

/** One of the two versions in a rollout. */
export type RolloutVersion = 'old' | 'new';

const HASH_RANGE = 2 ** 32;

/**
 * Assigns a version to a new session. All instances assign the same one, and a
 * session that gets the new version at one share gets it at any larger share.
 */
export const assignVersion = (
  rollout: string,
  sessionKey: string,
  share: number,
): RolloutVersion => {
  const hash = rendezvous.hashText(`${rollout}\n${sessionKey}`);
  return hash / HASH_RANGE < share ? 'new' : 'old';
};

/** Fractions, 0 to 1, of the answers of each version that are to be rated. */
export interface RatingShares {
  readonly old: number;
  readonly new: number;
}

/**
 * Divides `budget`, a fraction of all answers, between the versions. While the
 * share of the new version is small, its answers are rated first, with up to
 * half of the budget, as they are the most informative.
 */
export const allocateRatings = (
  share: number,
  budget: number,
): RatingShares => {
  if (share <= 0 || share >= 1) {
    return {old: budget, new: budget};
  }
  const onNew = Math.min(1, budget / 2 / share);
  const onOld = Math.min(1, (budget - onNew * share) / (1 - share));
  return {old: onOld, new: onNew};
};
