/**
 * What is known of one model's answers to one kind of task: how often they
 * pass given the engine's own score, and how scores are spread.
 */
import * as logisticRegression from './logistic-regression.js';

/** Belief about one stage. Plain JSON. */
export interface StageBelief {
  readonly pass: logisticRegression.LogisticBelief;
  /** Weighted counts of answers by score bin, the last bin for no score. */
  readonly direct: readonly number[];
  /** The same for answers after an earlier stage's was rejected. */
  readonly escalated: readonly number[];
}

/** Cost of what follows a stage's answer. */
export interface AnswerCosts {
  /** Price of passing on a bad answer. */
  readonly badAnswerCost: number;
  /** What to expect of going on instead; an infinite loss at the end. */
  readonly escalation: ExpectedOutcome;
}

/** What a plan is expected to come to. */
export interface ExpectedOutcome {
  /** Costs and the price of bad answers. */
  readonly loss: number;
  /** Share of good answers. */
  readonly pass: number;
}

/** Which answers of a stage are worth passing on. */
export interface Acceptance {
  /** Lowest score accepted; above 1 accepts none. */
  readonly threshold: number;
  /** Whether an answer without a score is accepted. */
  readonly unscored: boolean;
}

/** Scores beyond these log odds tell no more. */
const LOGIT_LIMIT = 4;
const BIN_COUNT = 8;
const UNSCORED_BIN = BIN_COUNT;
/** Answers after which a score's share in the histogram is renewed. */
const HISTOGRAM_WINDOW = 1000;
/** Answers that the first, flat histogram counts for. */
const HISTOGRAM_PRIOR = 8;
/** Threshold that no score reaches. */
const ACCEPT_NONE = 2;
/** Coefficients: base, score, escalated, unscored. */
const PRIOR_MEAN = [0, 0.5, 0, 0];
const PRIOR_VARIANCE = [4, 0.5, 1, 1];

const BIN_LOGITS = Array.from({length: BIN_COUNT}, (_, i) =>
  logisticRegression.boundedLogit((i + 0.5) / BIN_COUNT, LOGIT_LIMIT),
);

const createHistogram = (): readonly number[] =>
  Array.from({length: BIN_COUNT + 1}, () => HISTOGRAM_PRIOR / (BIN_COUNT + 1));

/** The belief about a model never seen on this kind of task. */
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

/** Counts an answer's score, rated or not. */
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

/** Takes in the rating, 0 to 1, of an answer. */
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

/** Widens the belief about passing, as ratings of the task pass by. */
export const ageStageBelief = (
  belief: StageBelief,
  growth: number,
): StageBelief => ({
  ...belief,
  pass: logisticRegression.ageBelief(belief.pass, PRIOR_VARIANCE, growth),
});

/** Log odds of passing, without the score's part. */
const findBaseLogit = (
  coefficients: readonly number[],
  escalated: boolean,
  unscored: boolean,
): number => {
  const [base = 0, , shift = 0, missing = 0] = coefficients;
  return base + (escalated ? shift : 0) + (unscored ? missing : 0);
};

/** A higher score is never taken as a sign of a worse answer. */
const findSlope = (coefficients: readonly number[]): number =>
  Math.max(0, coefficients[1] ?? 0);

/**
 * What to expect after a stage answered: pass the answer on, or go on. The
 * coefficients decide; the share of good answers is by the belief's mean, so
 * that a plan drawn to explore isn't credited with what it hopes for.
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
    const likely =
      coefficients === mean ? pass : findBinPass(mean, escalated, bin);
    const bad = costs.badAnswerCost * (1 - pass);
    const count = histogram[bin] ?? 0;
    const accepts = bad <= costs.escalation.loss;
    total += count;
    loss += count * (accepts ? bad : costs.escalation.loss);
    good += count * (accepts ? likely : costs.escalation.pass);
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

/** Chance, by the mean of the belief, that an answer passes. */
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

/** Which answers lose less by being passed on than by going on. */
export const findAcceptance = (
  coefficients: readonly number[],
  escalated: boolean,
  costs: AnswerCosts,
): Acceptance => {
  const needed = 1 - costs.escalation.loss / costs.badAnswerCost;
  if (needed <= 0) {
    return {threshold: 0, unscored: true};
  }
  const wanted = Math.log(needed / (1 - needed));
  const unscored = findBaseLogit(coefficients, escalated, true) >= wanted;
  const missing = wanted - findBaseLogit(coefficients, escalated, false);
  const slope = findSlope(coefficients);
  if (missing <= -slope * LOGIT_LIMIT) {
    return {threshold: 0, unscored};
  }
  if (missing > slope * LOGIT_LIMIT) {
    return {threshold: ACCEPT_NONE, unscored};
  }
  return {threshold: logisticRegression.sigmoid(missing / slope), unscored};
};
