/** Limits on the memory, time and object API calls that claims take. */

/** Limits of a `ClaimLedger`. */
export interface ClaimLimits {
  /** Timeout of one call to the object API, in milliseconds. */
  readonly callTimeoutMs: number;
  /** Time in which rounds to settle one claim may start, in milliseconds. */
  readonly claimTimeoutMs: number;
  /** Maximum rounds of create and read to settle one claim. */
  readonly maxAttempts: number;
  /** Delay before the second round, in milliseconds; doubles each round. */
  readonly backoffMs: number;
  /** Claims that may be settled concurrently; further requests are refused. */
  readonly maxInProgress: number;
  /** Largest answer stored for retries, in bytes of UTF-8. */
  readonly maxOutcomeBytes: number;
  /** Maximum number of void tokens remembered. */
  readonly maxVoidTokens: number;
  /**
   * Minimum time between probes of a platform that is down, in milliseconds.
   */
  readonly minProbeIntervalMs: number;
}

/**
 * Defaults.
 *
 * - `callTimeoutMs`: the platform answers within milliseconds, so that a second
 *   without an answer is a failure.
 * - `claimTimeoutMs`: callers at a door wait about three seconds.
 * - `maxInProgress`: 1,000 claims take about 6 MB.
 * - `maxOutcomeBytes`: 64 KiB holds any confirmation and is far below the
 *   platform's limit of 1 MB per object.
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
