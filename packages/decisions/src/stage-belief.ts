/**
 * Belief about the answers of one model to one kind of task: the probability
 * that an answer is good given the engine's own score, and the distribution of
 * scores.
 */
import * as logisticRegression from './logistic-regression.js';

/** Belief about one stage of a cascade. Plain JSON. */
export interface StageBelief {
  /** Probability that an answer is good. */
  readonly pass: logisticRegression.LogisticBelief;
  /** Weighted counts of answers by score bin; the last bin is for no score. */
  readonly direct: readonly number[];
  /** The same for answers given after an earlier stage's was rejected. */
  readonly escalated: readonly number[];
}

/** Cost of accepting a bad answer, and of escalating instead. */
export interface AnswerCosts {
  /** Price of returning a bad answer to the caller. */
  readonly badAnswerCost: number;
  /** Expected outcome of escalating; an infinite loss at the last stage. */
  readonly escalation: ExpectedOutcome;
}

/** Expected outcome of a plan. */
export interface ExpectedOutcome {
  /** Cost of the answers plus the price of bad ones. */
  readonly loss: number;
  /** Fraction of good answers. */
  readonly pass: number;
}

/** Which answers of a stage are accepted. */
export interface Acceptance {
  /** Lowest accepted score; a value above 1 accepts none. */
  readonly threshold: number;
  /** Whether an answer without a score is accepted. */
  readonly unscored: boolean;
}

/**
 * Bound on the log odds of scores: more extreme scores carry no further
 * information.
 */
const LOGIT_LIMIT = 4;
const BIN_COUNT = 8;
const UNSCORED_BIN = BIN_COUNT;
/** Weight at which the histogram decays: about the last 1,000 answers count. */
const HISTOGRAM_WINDOW = 1000;
/** Number of answers that the initial, flat histogram is worth. */
const HISTOGRAM_PRIOR = 8;
/** Threshold above any score. */
const ACCEPT_NONE = 2;
/** Priors of the coefficients: intercept, score, escalated, unscored. */
const PRIOR_MEAN = [0, 0.5, 0, 0];
const PRIOR_VARIANCE = [4, 0.5, 1, 1];

const BIN_LOGITS = Array.from({length: BIN_COUNT}, (_, i) =>
  logisticRegression.boundedLogit((i + 0.5) / BIN_COUNT, LOGIT_LIMIT),
);

const createHistogram = (): readonly number[] =>
  Array.from({length: BIN_COUNT + 1}, () => HISTOGRAM_PRIOR / (BIN_COUNT + 1));

/** Creates the belief about a model with no answers to this kind of task. */
export const createStageBelief = (): StageBelief => ({
  pass: logisticRegression.createBelief(PRIOR_MEAN, PRIOR_VARIANCE),
  direct: createHistogram(),
  escalated: createHistogram(),
});

const findBin = (score: number | undefined): number =>
  score === undefined
    ? UNSCORED_BIN
    : Math.min(BIN_COUNT - 1, Math.max(0, Math.floor(score * BIN_COUNT)));

const countBin = (
  histogram: readonly number[],
  bin: number,
): readonly number[] => {
  const total = histogram.reduce((sum, n) => sum + n, 0);
  const keep = total >= HISTOGRAM_WINDOW ? 1 - 1 / HISTOGRAM_WINDOW : 1;
  return histogram.map((n, i) => n * keep + (i === bin ? 1 : 0));
};

/** Counts the score of an answer, rated or not. */
export const recordScore = (
  belief: StageBelief,
  escalated: boolean,
  score: number | undefined,
): StageBelief => {
  const bin = findBin(score);
  return escalated
    ? {...belief, escalated: countBin(belief.escalated, bin)}
    : {...belief, direct: countBin(belief.direct, bin)};
};

/** Updates the belief by the rating, 0 to 1, of an answer. */
export const recordRating = (
  belief: StageBelief,
  escalated: boolean,
  score: number | undefined,
  rating: number,
): StageBelief => {
  const x =
    score === undefined
      ? 0
      : logisticRegression.boundedLogit(score, LOGIT_LIMIT);
  const features = [1, x, escalated ? 1 : 0, score === undefined ? 1 : 0];
  return {
    ...belief,
    pass: logisticRegression.updateBelief(belief.pass, features, rating),
  };
};

/** Widens the belief about good answers, so that old ratings lose weight. */
export const ageStageBelief = (
  belief: StageBelief,
  growth: number,
): StageBelief => ({
  ...belief,
  pass: logisticRegression.ageBelief(belief.pass, PRIOR_VARIANCE, growth),
});

/** Log odds of a good answer, without the contribution of the score. */
const findBaseLogit = (
  coefficients: readonly number[],
  escalated: boolean,
  unscored: boolean,
): number => {
  const [base = 0, , ifEscalated = 0, ifUnscored = 0] = coefficients;
  return base + (escalated ? ifEscalated : 0) + (unscored ? ifUnscored : 0);
};

/** Not negative: a higher score never counts as a worse answer. */
const findSlope = (coefficients: readonly number[]): number =>
  Math.max(0, coefficients[1] ?? 0);

/**
 * Estimates the outcome after a stage answered, when each answer is accepted
 * or escalated, whichever has the lower expected loss for `coefficients`. The
 * fraction of good answers is estimated by the mean of the belief, so that an
 * exploring plan isn't credited with the optimistic values that were drawn.
 */
export const estimateOutcome = (
  belief: StageBelief,
  coefficients: readonly number[],
  escalated: boolean,
  costs: AnswerCosts,
): ExpectedOutcome => {
  const histogram = escalated ? belief.escalated : belief.direct;
  const {mean} = belief.pass;
  let total = 0;
  let loss = 0;
  let good = 0;
  for (let bin = 0; bin <= BIN_COUNT; bin++) {
    const pass = findBinPass(coefficients, escalated, bin);
    const expectedPass =
      coefficients === mean ? pass : findBinPass(mean, escalated, bin);
    const bad = costs.badAnswerCost * (1 - pass);
    const count = histogram[bin] ?? 0;
    const accepts = bad <= costs.escalation.loss;
    total += count;
    loss += count * (accepts ? bad : costs.escalation.loss);
    good += count * (accepts ? expectedPass : costs.escalation.pass);
  }
  return {loss: loss / total, pass: good / total};
};

const findBinPass = (
  coefficients: readonly number[],
  escalated: boolean,
  bin: number,
): number => {
  const unscored = bin === UNSCORED_BIN;
  const base = findBaseLogit(coefficients, escalated, unscored);
  const score = unscored ? 0 : findSlope(coefficients) * (BIN_LOGITS[bin] ?? 0);
  return logisticRegression.sigmoid(base + score);
};

/** Probability, by the mean of the belief, that an answer is good. */
export const predictPass = (
  belief: StageBelief,
  escalated: boolean,
  score: number | undefined,
): number => {
  const {mean} = belief.pass;
  const x =
    score === undefined
      ? 0
      : logisticRegression.boundedLogit(score, LOGIT_LIMIT);
  const base = findBaseLogit(mean, escalated, score === undefined);
  return logisticRegression.sigmoid(base + findSlope(mean) * x);
};

/** Finds the answers for which accepting loses less than escalating. */
export const findAcceptance = (
  coefficients: readonly number[],
  escalated: boolean,
  costs: AnswerCosts,
): Acceptance => {
  const minPass = 1 - costs.escalation.loss / costs.badAnswerCost;
  if (minPass <= 0) {
    return {threshold: 0, unscored: true};
  }
  const minLogit = Math.log(minPass / (1 - minPass));
  const unscored = findBaseLogit(coefficients, escalated, true) >= minLogit;
  const minScoreTerm = minLogit - findBaseLogit(coefficients, escalated, false);
  const slope = findSlope(coefficients);
  if (minScoreTerm <= -slope * LOGIT_LIMIT) {
    return {threshold: 0, unscored};
  }
  if (minScoreTerm > slope * LOGIT_LIMIT) {
    return {threshold: ACCEPT_NONE, unscored};
  }
  return {
    threshold: logisticRegression.sigmoid(minScoreTerm / slope),
    unscored,
  };
};
