/** Bounds of the memory, time and calls that claims take. */

/** Bounds of a keeper of claims. */
export interface ClaimLimits {
  /** Time of one call to the object API, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Time to settle one claim, in milliseconds. */
  readonly claimTimeoutMs: number;
  /** Rounds of create and read to settle one claim. */
  readonly maxAttempts: number;
  /** Wait before the second round, in milliseconds; doubles each round. */
  readonly backoffMs: number;
  /** Claims being settled at once; past it requests are refused. */
  readonly maxInProgress: number;
  /** Largest answer kept for retries, in bytes of UTF-8. */
  readonly maxOutcomeBytes: number;
  /** Void tokens remembered. */
  readonly maxVoidTokens: number;
  /** Shortest time between probes of a platform that is out. */
  readonly minProbeIntervalMs: number;
}

/**
 * Defaults: the platform answers in milliseconds, so a second without an
 * answer is a failure, and three seconds is what a caller at a door waits.
 * 1,000 claims in progress are about 6 MB. 64 KiB holds any confirmation and
 * keeps the object far under the platform's megabyte.
 */
export const DEFAULT_CLAIM_LIMITS: ClaimLimits = {
  callTimeoutMs: 1_000,
  claimTimeoutMs: 3_000,
  maxAttempts: 4,
  backoffMs: 20,
  maxInProgress: 1_000,
  maxOutcomeBytes: 64 * 1024,
  maxVoidTokens: 10_000,
  minProbeIntervalMs: 500,
};
