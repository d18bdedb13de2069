/**
 * Cost of an attempt at an upstream, in prompt tokens: the wait there, the
 * delay that it causes to other requests, and the risk of failure. Pure
 * functions.
 */
import type * as pickRequest from './pick-request.js';
import type * as upstreamStats from './upstream-stats.js';

/**
 * Cost of one request in progress, in prompt tokens. Each request of a batch
 * makes an engine's step a few percent longer; thirty of them delay a first
 * token about as much as one long prompt.
 */
const REQUEST_TOKENS = 250;

/**
 * Decode time assumed for one answer token, in seconds, in which arriving
 * prompts can interrupt the answer. It is a fifth of the decode time of a
 * capable model, because an answer that is delayed midway is still on time if
 * its first token was.
 */
const SECONDS_PER_ANSWER_TOKEN = 0.002;

/**
 * Fraction of a prompt's tokens that counts as delay for each request in
 * progress. It is small because most of them can wait.
 */
const PROMPT_INTERFERENCE_FRACTION = 0.02;

/**
 * Maximum cost of interference, in prompt tokens. It is below the cost of an
 * engine reserved for the other tier, which would otherwise look cheap because
 * it gets few prompt tokens.
 */
const MAX_INTERFERENCE_TOKENS = 4_000;

/**
 * Cost of another zone, in prompt tokens: a round trip of 2 ms and the price of
 * the traffic. It is less than processing a short shared prefix again.
 */
const OTHER_ZONE_TOKENS = 300;

/**
 * Cost of an engine that is reserved for the other tier, in prompt tokens. It
 * equals a long prompt, so that a tier spills over when its own engines are
 * full.
 */
export const OTHER_TIER_TOKENS = 5_000;

/**
 * Cost of an engine whose batch is full, in prompt tokens. A prompt waits there
 * until another answer ends, or it preempts one in progress, whose prompt then
 * has to be processed again. It is more than the cost of an engine of the other
 * tier.
 */
const FULL_BATCH_TOKENS = 12_000;

/**
 * Fraction of an engine's batch from which it counts as nearly full. It is well
 * below 1 because requests that other instances sent in the last half second
 * are not known yet.
 */
const NEARLY_FULL_FRACTION = 0.6;

/**
 * Range of the random noise added to each cost, in tokens. Smaller differences
 * in cost are due to chance and should not decide.
 */
const NOISE_TOKENS = 150;

/**
 * Cost of a full batch for plain services, in prompt tokens. A request that
 * waits for a slot waits as long as one request takes.
 */
const PLAIN_FULL_BATCH_TOKENS = 6_000;

/** Cost of a failure rate of 1, in tokens: what a failed attempt wastes. */
const FAILURE_TOKENS = 12_000;

/** State of an upstream that the cost of an attempt depends on. */
export interface CandidateState {
  readonly candidate: pickRequest.PickCandidate;
  /** Stats over all instances. */
  readonly stats: upstreamStats.UpstreamSnapshot;
  /** Weighted tokens of this instance's prompts that wait there. */
  readonly ownWaitingTokens: number;
  /** Whether all instances send the prompt's prefix to this upstream. */
  readonly isPrefixHome: boolean;
  /** Whether it is in this instance's zone. */
  readonly isSameZone: boolean;
}

/**
 * Cost of an attempt, in prompt tokens.
 *
 * @param random uniform random numbers in [0, 1).
 */
export const findCost = (
  request: pickRequest.PickRequest,
  {
    candidate,
    stats,
    ownWaitingTokens,
    isPrefixHome,
    isSameZone,
  }: CandidateState,
  random: () => number,
): number => {
  const {inFlight, tokensPerS, answered, failed} = stats;
  const isGeneration = request.promptTokens > 0;
  const load = isGeneration
    ? ownWaitingTokens +
      inFlight * REQUEST_TOKENS +
      findFullBatchTokens(inFlight, candidate.slots) +
      findInterferenceTokens(request, inFlight, tokensPerS)
    : (inFlight / candidate.slots) * PLAIN_FULL_BATCH_TOKENS;
  const uncachedTokens =
    request.promptTokens - (isPrefixHome ? request.prefixTokens : 0);
  const zoneTokens = isSameZone ? 0 : OTHER_ZONE_TOKENS;
  const failureRate = failed / (answered + failed + 1);
  const noise = random() * NOISE_TOKENS;
  return (
    load + uncachedTokens + zoneTokens + failureRate * FAILURE_TOKENS + noise
  );
};

/** Whether `inFlight` requests nearly fill an upstream's batch. */
export const isNearlyFull = (inFlight: number, slots: number): boolean =>
  inFlight >= NEARLY_FULL_FRACTION * slots;

/**
 * Cost of interference between prefill and decode, in prompt tokens. An engine
 * decodes nothing while it processes a chunk of a prompt: a long answer is
 * delayed by prompts that arrive meanwhile, and a long prompt delays the
 * answers in progress. This cost sends long answers and long prompts to
 * different engines. On the same engine, answers of a few seconds took twenty,
 * and were cut off by their timeout or by the end of a process.
 */
const findInterferenceTokens = (
  {promptTokens, answerTokens}: pickRequest.PickRequest,
  inFlight: number,
  tokensPerS: number,
): number =>
  Math.min(
    MAX_INTERFERENCE_TOKENS,
    SECONDS_PER_ANSWER_TOKEN * answerTokens * tokensPerS +
      PROMPT_INTERFERENCE_FRACTION * promptTokens * inFlight,
  );

/**
 * Cost of a batch that is filling up, in prompt tokens. It makes engines that
 * are reserved for a tier spill over before their batches are full. Otherwise
 * short prompts would preempt long answers there while other engines have room.
 */
const findFullBatchTokens = (inFlight: number, slots: number): number => {
  const excess =
    (inFlight / slots - NEARLY_FULL_FRACTION) / (1 - NEARLY_FULL_FRACTION);
  return FULL_BATCH_TOKENS * Math.max(0, excess);
};
