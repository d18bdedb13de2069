/** Limits on the memory, time and object API calls that bills take. */

/** Limits of a `BillLedger`. */
export interface BillLimits {
  /** Mean time between two segment writes, in milliseconds. */
  readonly flushIntervalMs: number;
  readonly maxSegmentBills: number;
  /** Number of pending bills from which new requests are refused. */
  readonly maxPending: number;
  /** Number of copies that make a bill durable. */
  readonly copyQuorum: number;
  /** Timeout of copying to peers, in milliseconds. */
  readonly copyTimeoutMs: number;
  /**
   * Time in which bills are gathered into one write when too few peers accept
   * copies, in milliseconds.
   */
  readonly batchDelayMs: number;
  /** Time allowed for writing a bill that lacks copies, in milliseconds. */
  readonly durabilityTimeoutMs: number;
  /** Timeout of one call to the object API, in milliseconds. */
  readonly callTimeoutMs: number;
}

/**
 * Defaults for 15,000 requests/s on 1,000 instances.
 *
 * - `flushIntervalMs`: a segment every 10 s is 100 writes/s of the several
 *   hundred that the platform allows. A shorter interval costs writes; a longer
 *   one leaves more bills in the memory of only two or three processes.
 * - `maxSegmentBills`: 1,000 bills are 184 KB; the platform allows 1 MB.
 * - `maxPending`: 50,000 bills are 12 MB of the 256 MB of an instance and, at
 *   15 bills/s, nearly an hour of outage.
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
