/**
 * Estimates the scarcity of a service's capable model: a factor on its price.
 *
 * Load: a zone is taken out or upstreams are lost, and the remaining engines
 * can take a third of the requests. Harm prevented: every uncertain answer is
 * escalated to the capable model, whose prompts then delay all others by
 * seconds, and no answer is on time. The estimate uses the wait for the first
 * token, because callers notice it, and it is comparable between engines of any
 * size.
 */

/** Fraction of the latency target that a first token may take at factor 1. */
const FREE_FRACTION = 0.6;

/** Weight of one wait; about ten of them determine the estimate. */
const GAIN = 0.15;

/**
 * Half-life of the estimate, in ms. Without this decay nothing would show that
 * engines are free again while no request runs on the capable model.
 */
const HALF_LIFE_MS = 4_000;

/** Maximum factor; no answer is worth the capable model at a higher one. */
const MAX_SCARCITY = 30;

/** Estimates scarcity from the waits that one instance measures. */
export class ScarcityMeter {
  /** Moving average of waits relative to the allowed wait. */
  private pressure = 0;
  private decayedAtMs = 0;

  /**
   * Records the wait for a first token of the capable model, or how long a
   * request waited before it gave up.
   */
  record(waitMs: number, targetMs: number, nowMs: number): void {
    const before = this.decay(nowMs);
    this.pressure =
      before + GAIN * (waitMs / (FREE_FRACTION * targetMs) - before);
  }

  /** Factor on the price: 1 for short waits, then the square of `pressure`. */
  value(nowMs: number): number {
    const pressure = this.decay(nowMs);
    return Math.min(MAX_SCARCITY, Math.max(1, pressure * pressure));
  }

  private decay(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.decayedAtMs);
    this.pressure *= 2 ** (-elapsedMs / HALF_LIFE_MS);
    this.decayedAtMs = nowMs;
    return this.pressure;
  }
}
