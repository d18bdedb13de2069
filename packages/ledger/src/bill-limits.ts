/** Bounds of the memory, time and calls that bills take. */

/** Bounds of a keeper of bills. */
export interface BillLimits {
  /** Mean time between two segments, in milliseconds. */
  readonly flushIntervalMs: number;
  readonly maxSegmentBills: number;
  /** Pending bills past which new requests are refused. */
  readonly maxPending: number;
  /** Copies that make a bill safe. */
  readonly copyQuorum: number;
  /** Longest wait for copies, in milliseconds. */
  readonly copyTimeoutMs: number;
  /** Time to gather bills into one write when no peer takes copies. */
  readonly batchDelayMs: number;
  /** Longest time to make one bill safe, in milliseconds. */
  readonly durabilityTimeoutMs: number;
  /** Time of one call to the object API, in milliseconds. */
  readonly callTimeoutMs: number;
}

/**
 * Defaults. At 15,000 requests/s on 1,000 instances a segment each 10 s is
 * 100 writes/s of the platform's several hundred; shorter costs writes, longer
 * leaves more bills to two or three processes' memory. A segment of
 * 1,000 bills is 184 KB of the platform's megabyte. 50,000 pending bills are
 * 12 MB of the 256 MB, and at 15 bills/s nearly an hour of outage.
 */
export const DEFAULT_BILL_LIMITS: BillLimits = {
  flushIntervalMs: 10_000,
  maxSegmentBills: 1_000,
  maxPending: 50_000,
  copyQuorum: 2,
  copyTimeoutMs: 1_000,
  batchDelayMs: 100,
  durabilityTimeoutMs: 2_000,
  callTimeoutMs: 1_000,
};
