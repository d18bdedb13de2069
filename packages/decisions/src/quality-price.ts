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
const STEP = 0.004;
/** Answers that one rating stands for, at most: ratings may stop coming. */
const MOST_ANSWERS_PER_RATING = 50;
/** Bounds, so that a long run of bad or good luck is soon undone. */
const LOWEST_LOG = Math.log(0.02);
const HIGHEST_LOG = Math.log(500);

/** High, so that a new workspace starts with capable models. */
export const FIRST_PRICE: QualityPrice = {
  log: Math.log(5),
  requests: 0,
  ratings: 0,
};

const move = (price: QualityPrice, missing: number): QualityPrice => {
  const floor = Math.max(LOWEST_LOG, price.log + STEP * missing);
  return {...price, log: Math.min(HIGHEST_LOG, floor)};
};

/** Counts requests planned alike, each expected to miss a share of the goal. */
export const countPlans = (
  price: QualityPrice,
  requests: number,
  missing: number,
): QualityPrice => {
  const counted = {...price, requests: price.requests + requests};
  return move(counted, requests * missing);
};

/** Counts a rating that fell short of what was expected of its answer. */
export const countRating = (
  price: QualityPrice,
  missing: number,
): QualityPrice => {
  const ratings = price.ratings + 1;
  const answers = price.requests / ratings;
  const standsFor = Math.min(MOST_ANSWERS_PER_RATING, answers);
  return move({...price, ratings}, standsFor * missing);
};
