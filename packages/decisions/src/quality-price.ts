/**
 * Adjusts the price of a bad answer in one workspace until its answers just
 * meet the target quality.
 *
 * Plans change the price by their expected shortfall, without waiting for
 * ratings. Ratings change it by the error of that expectation, each weighted
 * by the number of answers that it represents. The changes add up to the total
 * shortfall, so the mean rating converges to the target even where the beliefs
 * are wrong.
 */

/** A price and the counts that it is based on. Plain JSON. */
export interface QualityPrice {
  /** Log of the price, relative to the cost of the capable stage. */
  readonly log: number;
  /** Number of requests planned. */
  readonly requests: number;
  /** Number of ratings received. */
  readonly ratings: number;
}

/**
 * Change of the log price for a shortfall of one whole answer. The price
 * adapts over a few thousand requests, longer than ratings are delayed.
 */
const LEARNING_RATE = 0.004;
/** Maximum answers that one rating represents, as ratings may stop coming. */
const MAX_ANSWERS_PER_RATING = 50;
/**
 * Bounds from which the price recovers quickly after a run of chance results.
 */
const MIN_LOG_PRICE = Math.log(0.02);
const MAX_LOG_PRICE = Math.log(500);

/** Initial price: high, so that a new workspace starts with capable models. */
export const INITIAL_PRICE: QualityPrice = {
  log: Math.log(5),
  requests: 0,
  ratings: 0,
};

const adjustPrice = (price: QualityPrice, shortfall: number): QualityPrice => {
  const floor = Math.max(MIN_LOG_PRICE, price.log + LEARNING_RATE * shortfall);
  return {...price, log: Math.min(MAX_LOG_PRICE, floor)};
};

/** Adjusts for `requests` with one plan, each with an expected shortfall. */
export const adjustForPlans = (
  price: QualityPrice,
  requests: number,
  shortfall: number,
): QualityPrice => {
  const counted = {...price, requests: price.requests + requests};
  return adjustPrice(counted, requests * shortfall);
};

/** Adjusts for a rating that fell short of its expected value. */
export const adjustForRating = (
  price: QualityPrice,
  shortfall: number,
): QualityPrice => {
  const ratings = price.ratings + 1;
  const answers = price.requests / ratings;
  const answersPerRating = Math.min(MAX_ANSWERS_PER_RATING, answers);
  return adjustPrice({...price, ratings}, answersPerRating * shortfall);
};
