/** Shares of the most frequent keys in a stream, in bounded memory. */

/** Keys counted at once: a key under 1/64 of requests needs no spreading. */
const MAX_KEYS = 64;

/** Requests after which all counts are halved, so that shares stay recent. */
const HALVING_INTERVAL = 1024;

/** Frequent keys by the Misra-Gries summary, with decay. */
export class HotKeys {
  private total = 0;
  private readonly counts = new Map<string, number>();

  /** Counts a key; returns its share of recent requests, 0 to 1, or less. */
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
