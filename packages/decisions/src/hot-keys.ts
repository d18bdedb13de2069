/** Estimates the shares of the most frequent keys in bounded memory. */

/** Maximum number of counted keys: one under 1/64 of requests isn't hot. */
const MAX_KEYS = 64;

/** Requests after which all counts are halved, to favor recent requests. */
const HALVING_INTERVAL = 1024;

/** Misra-Gries summary of keys, with decay. */
export class HotKeys {
  private total = 0;
  private readonly counts = new Map<string, number>();

  /**
   * Counts a key and returns its share of recent requests, 0 to 1. The share
   * may be underestimated.
   */
  record(key: string): number {
    this.total++;
    if (this.total >= HALVING_INTERVAL) {
      this.scale(0.5, 0);
      this.total /= 2;
    }
    const count = (this.counts.get(key) ?? 0) + 1;
    if (this.counts.size < MAX_KEYS || this.counts.has(key)) {
      this.counts.set(key, count);
      return count / this.total;
    }
    this.scale(1, 1);
    return 0;
  }

  private scale(factor: number, loss: number): void {
    for (const [key, count] of this.counts) {
      const left = count * factor - loss;
      if (left >= 1) {
        this.counts.set(key, left);
      } else {
        this.counts.delete(key);
      }
    }
  }
}
