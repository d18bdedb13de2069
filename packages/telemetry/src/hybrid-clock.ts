/**
 * Hybrid logical clock: stamps that follow wall time but never go back and
 * always lie after every stamp the process has seen, so that a cause sorts
 * before its effect on the merged time line.
 */

/** A stamp; sorts by `wallMs`, then `counter`. */
export interface Timestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/** Orders two stamps. */
export const compareTimestamps = (a: Timestamp, b: Timestamp): number =>
  a.wallMs - b.wallMs || a.counter - b.counter;

/** Issues stamps for one process. */
export class HybridClock {
  private last: Timestamp = {wallMs: 0, counter: 0};

  /** @param wallTime wall time in milliseconds since the epoch. */
  constructor(private readonly wallTime: () => number) {}

  /** A stamp after all issued and seen so far. */
  next(): Timestamp {
    const wallMs = Math.max(this.wallTime(), this.last.wallMs);
    const counter = wallMs === this.last.wallMs ? this.last.counter + 1 : 0;
    this.last = {wallMs, counter};
    return this.last;
  }

  /** Takes in a stamp from another process. */
  observe(stamp: Timestamp): void {
    if (compareTimestamps(stamp, this.last) > 0) {
      this.last = stamp;
    }
  }
}
