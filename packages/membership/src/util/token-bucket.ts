/** A token bucket: allows a steady rate with short bursts. */

/** A bucket that starts full. Time is an argument, in milliseconds. */
export class TokenBucket {
  private tokens: number;

  /** @param perSecond tokens that are added each second, up to `size`. */
  constructor(
    private readonly size: number,
    private readonly perSecond: number,
    private filledAt: number,
  ) {
    this.tokens = size;
  }

  /** Takes one token, going below zero if there is none. */
  take(now: number): void {
    const earned = ((now - this.filledAt) / 1_000) * this.perSecond;
    this.tokens = Math.min(this.size, this.tokens + earned) - 1;
    this.filledAt = now;
  }

  /** Time until a token is available, in milliseconds; 0 if one is. */
  waitMs(now: number): number {
    const earned = ((now - this.filledAt) / 1_000) * this.perSecond;
    const missing = 1 - this.tokens - earned;
    return Math.max(0, (missing / this.perSecond) * 1_000);
  }
}
