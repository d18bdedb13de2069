/**
 * Decides whether a cheap model's answer is taken or a capable model runs.
 *
 * Load: every request that leaves the model to the gateway; the cheap model's
 * opinion of its answer comes with the first bytes, and is rough. Harm
 * prevented: answers that are too weak, and paying for the capable model where
 * the answer it might improve is worth less than its price.
 */

/** A request, as far as its worth and its price depend on it. */
export interface RequestProfile {
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly maxTokens: number;
  /** The caller's guess of the answer's tokens. */
  readonly expectedTokens: number;
  /** Price of 1,000 generated tokens of the capable model. */
  readonly capablePrice: number;
}

/**
 * Worth of an answer for each 1,000 tokens of its prompt and ten times its
 * longest answer, in the unit of the prices: operators say what models cost,
 * not what answers are worth.
 */
const VALUE_PER_THOUSAND_TOKENS = 0.18;

/** Weight of an answer's tokens against a prompt's in what it is worth. */
const ANSWER_WEIGHT = 10;

/** Price of a prompt's token against a generated one. */
const PROMPT_PRICE_RATIO = 0.25;

/** Confidence at which an answer is as likely good enough as not. */
const EVEN_CONFIDENCE = 50;

/** Standard deviation of the opinion, in points of confidence. */
const CONFIDENCE_DEVIATION = 8;

const TOKENS_PER_PRICE_UNIT = 1_000;

/** Standard normal distribution function, by the logistic approximation. */
const normalCdf = (z: number): number => 1 / (1 + Math.exp(-1.702 * z));

/** Chance, 0 to 1, that an answer with this confidence, 0 to 100, is weak. */
export const weakAnswerProbability = (confidence: number): number =>
  normalCdf((EVEN_CONFIDENCE - confidence) / CONFIDENCE_DEVIATION);

const answerValue = ({promptTokens, maxTokens}: RequestProfile): number =>
  (VALUE_PER_THOUSAND_TOKENS * (promptTokens + ANSWER_WEIGHT * maxTokens)) /
  TOKENS_PER_PRICE_UNIT;

const escalationCost = (profile: RequestProfile): number =>
  (profile.capablePrice *
    (PROMPT_PRICE_RATIO * profile.promptTokens + profile.expectedTokens)) /
  TOKENS_PER_PRICE_UNIT;

/**
 * Whether the capable model should run instead.
 *
 * @param scarcity how dear the capable model is now against its price, 1 and
 *     more: where its engines are full, it takes them from other requests.
 */
export const shouldEscalate = (
  confidence: number,
  profile: RequestProfile,
  scarcity: number,
): boolean =>
  weakAnswerProbability(confidence) * answerValue(profile) >
  escalationCost(profile) * scarcity;
