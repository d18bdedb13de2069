/**
 * Counts events and sums amounts over a sliding time window. Time is an
 * argument.
 */

/** Number of events within a sliding window. */
export class SlidingCount {
  private times: number[] = [];
  private first = 0;

  /** @param windowMs length of the window in milliseconds. */
  constructor(private readonly windowMs: number) {}

  /** Records one event. */
  add(nowMs: number): void {
    this.times.push(nowMs);
  }

  /** Returns the number of events in the window that ends at `nowMs`. */
  count(nowMs: number): number {
    const from = nowMs - this.windowMs;
    while ((this.times[this.first] ?? Infinity) <= from) {
      this.first++;
    }
    if (this.first > this.times.length / 2) {
      this.times = this.times.slice(this.first);
      this.first = 0;
    }
    return this.times.length - this.first;
  }

  /**
   * Returns the time until the window holds fewer than `limit` events, if none
   * is added, in milliseconds; undefined if `limit` is below 1.
   */
  findWaitMs(nowMs: number, limit: number): number | undefined {
    if (limit < 1) {
      return undefined;
    }
    const excess = this.count(nowMs) - Math.floor(limit);
    const lastToLeave = this.times[this.first + excess];
    return excess < 0 || lastToLeave === undefined
      ? 0
      : lastToLeave + this.windowMs - nowMs;
  }
}

interface Amount {
  readonly atMs: number;
  readonly amount: number;
}

/** Sum of amounts within a sliding window. */
export class SlidingSum {
  private amounts: Amount[] = [];
  private total = 0;

  /** @param windowMs length of the window in milliseconds. */
  constructor(private readonly windowMs: number) {}

  /** Records an amount. */
  add(amount: number, nowMs: number): void {
    this.amounts.push({atMs: nowMs, amount});
    this.total += amount;
  }

  /** Returns the sum of the amounts in the window that ends at `nowMs`. */
  sum(nowMs: number): number {
    const from = nowMs - this.windowMs;
    const kept = this.amounts.findIndex(({atMs}) => atMs > from);
    const gone = this.amounts.splice(0, kept === -1 ? Infinity : kept);
    this.total -= gone.reduce((sum, {amount}) => sum + amount, 0);
    return this.amounts.length === 0 ? 0 : this.total;
  }
}
