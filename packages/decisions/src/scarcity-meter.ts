/**
 * How dear the capable model of a service is now, against its price.
 *
 * Load: a zone is taken out, or upstreams are lost, and the engines that are
 * left carry a third of what comes. Harm prevented: every doubtful answer is
 * asked for again at the capable model, whose prompts then wait for seconds
 * before all others; nothing is on time. The first token's wait is the sign,
 * for it is what callers feel and what engines of any size have in common.
 */

/** Part of the latency target that a first token may take at price. */
const FREE_FRACTION = 0.6;

/** Weight of one wait; some ten of them tell. */
const GAIN = 0.15;

/**
 * Time in which half of what was learned fades, in ms. While nothing capable
 * runs nobody learns that engines are free again.
 */
const HALF_LIFE_MS = 4_000;

/** Highest value; beyond it nothing is worth the capable model any more. */
const MAX_SCARCITY = 30;

/** Learns from the waits of one instance. */
export class ScarcityMeter {
  /** Waits against what they may take, averaged. */
  private pressure = 0;
  private decayedAtMs = 0;

  /**
   * Notes how long a capable model's first token took, or how long it was
   * waited for in vain.
   */
  record(waitMs: number, targetMs: number, nowMs: number): void {
    const before = this.decay(nowMs);
    this.pressure =
      before + GAIN * (waitMs / (FREE_FRACTION * targetMs) - before);
  }

  /** 1 while waits are short; grows with the square of their excess. */
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
