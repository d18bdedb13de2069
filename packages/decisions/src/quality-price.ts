/**
 * Price of a bad answer in one workspace, moved until the answers just meet
 * the target.
 *
 * Plans move it by what they expect to miss, without waiting for ratings;
 * ratings move it by what the expectation missed, each for all the answers
 * it stands for. The steps add up to the shortfall so far, hence the mean
 * rating settles at the target whatever the beliefs get wrong.
 */

/** A price and what it was moved by so far. Plain JSON. */
export interface QualityPrice {
  /** Log of the price, in costs of the capable stage. */
  readonly log: number;
  /** Requests planned and ratings that came. */
  readonly requests: number;
  readonly ratings: number;
}

/**
 * Step of the log price for a whole answer missing: the price moves within
 * some thousand requests, slower than ratings are late.
 */
const LEARNING_RATE = 0.004;
/** Answers that one rating stands for, at most: ratings may stop coming. */
const MAX_ANSWERS_PER_RATING = 50;
/** Bounds, so that a long run of bad or good luck is soon undone. */
const MIN_LOG_PRICE = Math.log(0.02);
const MAX_LOG_PRICE = Math.log(500);

/** High, so that a new workspace starts with capable models. */
export const INITIAL_PRICE: QualityPrice = {
  log: Math.log(5),
  requests: 0,
  ratings: 0,
};

const adjustPrice = (price: QualityPrice, shortfall: number): QualityPrice => {
  const floor = Math.max(MIN_LOG_PRICE, price.log + LEARNING_RATE * shortfall);
  return {...price, log: Math.min(MAX_LOG_PRICE, floor)};
};

/** Counts requests planned alike, each expected to miss a share of the goal. */
export const adjustForPlans = (
  price: QualityPrice,
  requests: number,
  shortfall: number,
): QualityPrice => {
  const counted = {...price, requests: price.requests + requests};
  return adjustPrice(counted, requests * shortfall);
};

/** Counts a rating that fell short of what was expected of its answer. */
export const adjustForRating = (
  price: QualityPrice,
  shortfall: number,
): QualityPrice => {
  const ratings = price.ratings + 1;
  const answers = price.requests / ratings;
  const answersPerRating = Math.min(MAX_ANSWERS_PER_RATING, answers);
  return adjustPrice({...price, ratings}, answersPerRating * shortfall);
};
