/**
 * Estimates how long a service's engines take to prefill the prompts that wait
 * at them.
 *
 * Load: a burst of requests, or a loss of engines, so that prompts arrive
 * faster than the remaining engines process them. Harm prevented: uncertain
 * answers escalated to a capable model whose queue is already longer than
 * callers wait; conversely, weak answers returned while engines are merely
 * busy. The wait of a finished request reflects the queue of seconds ago, while
 * the prompts that wait now determine the wait of the next one.
 */

/** Minimum weighted tokens of a sample; short prompts say little on speed. */
const MIN_TOKENS = 1_000;

/**
 * Weight of a sample that is slower than the estimate. Waiting only adds to the
 * prefill time, so the fastest recent sample is closest to the engines' speed.
 * Slower samples have a small weight, in case engines have become slow.
 */
const SLOWER_SAMPLE_WEIGHT = 0.02;

/**
 * Half-life of the estimated time per token while there are no samples, in ms.
 *
 * It guards against an instance that has only seen a burst: it takes the waits
 * in the burst for the engines' speed, finds the capable model too expensive
 * for any answer, and so never gets a sample that corrects the estimate.
 */
const HALF_LIFE_MS = 4_000;

/** Fraction of a latency target that the backlog may take at no surcharge. */
const FREE_FRACTION = 0.4;

/** Estimates the prefill speed of one service's engines. */
export class PrefillBacklog {
  private msPerToken: number | undefined;
  private lastSampleMs = 0;

  /** Records the time to the first token of a prompt of weighted tokens. */
  record(tokens: number, waitMs: number, nowMs: number): void {
    if (tokens < MIN_TOKENS) {
      return;
    }
    const sample = waitMs / tokens;
    const known = this.msPerTokenAt(nowMs) ?? sample;
    this.lastSampleMs = nowMs;
    this.msPerToken =
      sample < known ? sample : known + SLOWER_SAMPLE_WEIGHT * (sample - known);
  }

  /**
   * Time until all waiting prompts are processed, in ms; 0 while the prefill
   * speed is unknown.
   *
   * @param waitingTokens weighted tokens that wait at all engines together.
   */
  waitMs(waitingTokens: number, engines: number, nowMs: number): number {
    const msPerToken = this.msPerTokenAt(nowMs) ?? 0;
    return (msPerToken * waitingTokens) / Math.max(1, engines);
  }

  /** Estimated prefill time of a token, in ms; undefined without samples. */
  private msPerTokenAt(nowMs: number): number | undefined {
    const idleMs = Math.max(0, nowMs - this.lastSampleMs);
    return this.msPerToken && this.msPerToken * 2 ** (-idleMs / HALF_LIFE_MS);
  }
}

/**
 * Factor on the price of the capable model for a backlog of `waitMs`; at least
 * 1.
 */
export const scarcityOfBacklog = (waitMs: number, targetMs: number): number =>
  Math.max(1, (waitMs / (FREE_FRACTION * targetMs)) ** 2);
