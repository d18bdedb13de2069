/**
 * Spaces the calls of one instance to a store that does not answer them. Pure:
 * time is an argument.
 *
 * Load: an outage of the store, in which each of hundreds of instances wants to
 * list every kind of objects that it follows, at a store that counts refused
 * calls too. Harm prevented: as many calls as there are kinds, where one shows
 * whether the store answers again.
 */

/** Backoff after the first failed call, in milliseconds. */
const MIN_BACKOFF_MS = 50;

/** Failures after which the backoff no longer grows. */
const MAX_DOUBLINGS = 10;

/**
 * Time for which a call that is in progress holds back the next one, in
 * milliseconds. The store answers within some ten milliseconds; a call that it
 * leaves unanswered must not hold back all others until its timeout.
 */
const PROBE_SPACING_MS = 250;

/** Backoff that all calls of one instance share. */
export class StoreBackoff {
  private failures = 0;
  private lastFailureAtMs = -Infinity;
  private nextCallAtMs = -Infinity;

  /** @param random uniform random numbers in [0, 1). */
  constructor(private readonly random: () => number) {}

  /** Whether the last call failed. */
  get isFailing(): boolean {
    return this.failures > 0;
  }

  /** Whether a call may be made now. */
  mayCall(nowMs: number): boolean {
    return !this.isFailing || nowMs >= this.nextCallAtMs;
  }

  /** Records that a call begins. */
  recordStart(nowMs: number): void {
    this.nextCallAtMs = nowMs + PROBE_SPACING_MS;
  }

  /** Records that the store has answered. */
  recordAnswer(): void {
    this.failures = 0;
  }

  /**
   * Records that a call failed. Of several calls that were in progress at the
   * same time, only the first counts.
   */
  recordFailure(startedAtMs: number, nowMs: number, maxMs: number): void {
    if (startedAtMs < this.lastFailureAtMs) {
      return;
    }
    this.failures++;
    this.lastFailureAtMs = nowMs;
    const doublings = Math.min(this.failures, MAX_DOUBLINGS);
    const boundedMs = Math.min(maxMs, MIN_BACKOFF_MS * 2 ** doublings);
    this.nextCallAtMs = nowMs + boundedMs * (0.5 + this.random() / 2);
  }
}
