/**
 * Decides how far a new version is exposed: steps are bought by evidence, and
 * a version that turns bad is stopped.
 *
 * Load: one roll-out on most days, sessions on a thousand instances, of which
 * none sees enough alone. Harm prevented: bad answers to callers while nobody
 * has noticed, and a good version withdrawn by chance. The state is plain
 * JSON, kept with the roll-out's object: any instance that takes the lease
 * resumes it under its own fencing number.
 */

import * as rendezvous from './rendezvous.js';
import * as rolloutEvidence from './rollout-evidence.js';
import * as sequentialTest from './sequential-test.js';

/** What the guard found, at one look. */
export type RolloutDecision =
  | {readonly kind: 'hold'; readonly share: number}
  | {readonly kind: 'advance'; readonly share: number}
  | {readonly kind: 'stop'; readonly share: 0; readonly reason: StopReason};

/** What a stopped version was worse in. */
export type StopReason = 'errors' | 'latency' | 'ratings';

/** A roll-out in progress. Plain JSON. */
export interface RolloutState {
  /** Place in the roll-out's steps. */
  readonly step: number;
  /** Share of new sessions, 0 to 1, that the new version gets. */
  readonly share: number;
  readonly stopped?: StopReason;
  /** Evidence already judged. */
  readonly judged: rolloutEvidence.EvidenceByInstance;
  /** Rated answers of the new version so far. */
  readonly rated: number;
  readonly errors: sequentialTest.LogLikelihoodRatios;
  readonly latency: sequentialTest.LogLikelihoodRatios;
  readonly ratings: sequentialTest.LogLikelihoodRatios;
}

/** What one look starts from. */
export interface RolloutInput {
  /** Growing shares of new sessions, 0 to 1, the last being 1. */
  readonly steps: readonly number[];
  readonly evidence: rolloutEvidence.EvidenceByInstance;
  /** Requests a second of the model, all versions together. */
  readonly requestRate: number;
  /** How late ratings are, in seconds. */
  readonly ratingDelay: number;
}

/**
 * Chance that a good version is ever stopped; the issue allows 1%, and the
 * mixture's bound is not tight.
 */
const FALSE_STOP_RATE = 0.009;
/** Errors, latency and ratings share the chance of a false stop. */
const TEST_COUNT = 3;
const STOP_BOUND = Math.log(TEST_COUNT / FALSE_STOP_RATE);
/** Doubt, as a log: at this much evidence against, exposure grows no more. */
const DOUBT_BOUND = Math.log(3);
/** A worse version is cleared by chance at most this often. */
const FALSE_CLEARANCE_RATE = 0.02;
const CLEAR_BOUND = Math.log(1 / FALSE_CLEARANCE_RATE);
/**
 * Beyond this share a version must be cleared of being worse. At this share
 * all its answers are rated and the old version has most of the budget.
 */
const SMALL_SHARE = 0.02;
/** Answers that may wait for a rating before any has come. */
const INITIAL_OUTSTANDING = 20;
/** Answers that may wait for a rating for each that has come. */
const OUTSTANDING_GROWTH = 0.3;
/** Rated answers that buy each of the first steps. */
const RATED_PER_STEP = 40;

/** A roll-out that has not begun. */
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
 * Share at which no more answers wait for a rating than the evidence so far
 * justifies: at a high rate even a small step would otherwise hand out
 * thousands of bad answers before the first rating comes.
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

/** Takes in the evidence counted so far and decides the share. */
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

/** A version of the two in a roll-out. */
export type RolloutVersion = 'old' | 'new';

const HASH_RANGE = 2 ** 32;

/**
 * Version of a new session: every instance assigns the same, and a session
 * that got the new version at one share gets it at any larger one.
 */
export const assignVersion = (
  rollout: string,
  sessionKey: string,
  share: number,
): RolloutVersion => {
  const hash = rendezvous.hashText(`${rollout}\n${sessionKey}`);
  return hash / HASH_RANGE < share ? 'new' : 'old';
};

/** Shares, 0 to 1, of each version's answers to have rated. */
export interface RatingShares {
  readonly old: number;
  readonly new: number;
}

/**
 * Spends the ratings that `budget`, a share of all answers, allows where they
 * tell most: on the new version first, up to half, while its share is small.
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
