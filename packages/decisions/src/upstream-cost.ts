/**
 * What a try costs at an upstream, in prompt tokens: what it waits for there,
 * what it holds up, and what it risks. Pure.
 */
import type * as pickRequest from './pick-request.js';
import type * as upstreamStats from './upstream-stats.js';

/**
 * Cost of one request in progress, in prompt tokens. An engine's step takes a
 * few percent longer for each request of its batch; thirty of them delay a
 * first token about as much as one long prompt.
 */
const REQUEST_TOKENS = 250;

/**
 * Time that making an answer's token counts for, in seconds, against the
 * prompts that come in it: a fifth of what a capable model takes, for an answer
 * that is held up is still on time if it began in time.
 */
const SECONDS_PER_ANSWER_TOKEN = 0.002;

/**
 * Part of a prompt's cost that it brings to each request in progress, which
 * mostly can wait.
 */
const PROMPT_INTERFERENCE_FRACTION = 0.02;

/**
 * Most that standing still counts for, in prompt tokens: less than an engine
 * that is set apart for the other tier, which reads little by this measure.
 */
const MAX_INTERFERENCE_TOKENS = 4_000;

/**
 * Cost of another zone, in prompt tokens: two ms of round trip and the price
 * of the bytes, less than reading a short shared beginning again.
 */
const OTHER_ZONE_TOKENS = 300;

/**
 * Cost of an engine that is set apart for the other tier, in prompt tokens:
 * as much as a long prompt, so that a tier spills over when its own are full.
 */
export const OTHER_TIER_TOKENS = 5_000;

/**
 * Cost of an engine whose batch is full, in prompt tokens: a prompt waits there
 * until an answer of others has ended, or takes the place of one in progress,
 * which is read again later. It is more than an engine of the other tier.
 */
const FULL_BATCH_TOKENS = 12_000;

/**
 * Part of an engine's batch from which on it counts as filling up. What others
 * have sent there in the last half second is not known yet.
 */
const NEARLY_FULL_FRACTION = 0.6;

/** Differences below this many tokens are chance; among them the draw decides. */
const NOISE_TOKENS = 150;

/**
 * Cost of a whole batch, in prompt tokens, for plain services: a request that
 * has to wait for a slot waits for as long as one takes.
 */
const PLAIN_FULL_BATCH_TOKENS = 6_000;

/** Cost of the failure rate, in tokens: what a failed try wastes. */
const FAILURE_TOKENS = 12_000;

/** An upstream as a try would find it. */
export interface CandidateState {
  readonly candidate: pickRequest.PickCandidate;
  /** Signs of all instances. */
  readonly stats: upstreamStats.UpstreamSnapshot;
  /** Weighted tokens of this instance's own prompts that wait there. */
  readonly ownWaitingTokens: number;
  /** Whether it keeps the beginning that the prompt shares. */
  readonly isPrefixHome: boolean;
  /** Whether it lies in the instance's zone. */
  readonly isSameZone: boolean;
}

/**
 * Cost of a try, in prompt tokens.
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

/** Whether so many requests in progress nearly fill an upstream's batch. */
export const isNearlyFull = (inFlight: number, slots: number): boolean =>
  inFlight >= NEARLY_FULL_FRACTION * slots;

/**
 * Cost of standing still, in prompt tokens. An engine makes no answer's token
 * while it reads a piece of a prompt: a long answer is held up by the prompts
 * that come meanwhile, and a long prompt holds up the answers in progress.
 * Counted, long answers and long prompts find their way to different engines;
 * side by side, answers of a few seconds took twenty, and were cut by their
 * time limit or by the end of a process.
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
 * Cost of a batch that fills up, in prompt tokens. Engines that are set apart
 * for a tier spill over before their batches are full; short prompts would else
 * push out long answers there while other engines have room.
 */
const findFullBatchTokens = (inFlight: number, slots: number): number => {
  const filled =
    (inFlight / slots - NEARLY_FULL_FRACTION) / (1 - NEARLY_FULL_FRACTION);
  return FULL_BATCH_TOKENS * Math.max(0, filled);
};
