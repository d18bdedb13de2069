/**
 * Hybrid logical clock. Its timestamps follow wall time, never go back and are
 * later than every timestamp that the process has observed, so that a cause
 * sorts before its effect on the merged time line.
 */

/** Hybrid timestamp; sorts by `wallMs`, then by `counter`. */
export interface Timestamp {
  readonly wallMs: number;
  readonly counter: number;
}

/** Compares two timestamps, for sorting in ascending order. */
export const compareTimestamps = (a: Timestamp, b: Timestamp): number =>
  a.wallMs - b.wallMs || a.counter - b.counter;

/** Issues the timestamps of one process. */
export class HybridClock {
  private last: Timestamp = {wallMs: 0, counter: 0};

  /** @param wallTime returns the wall time in milliseconds since the epoch. */
  constructor(private readonly wallTime: () => number) {}

  /** Returns a timestamp later than all issued and observed ones. */
  next(): Timestamp {
    const wallMs = Math.max(this.wallTime(), this.last.wallMs);
    const counter = wallMs === this.last.wallMs ? this.last.counter + 1 : 0;
    this.last = {wallMs, counter};
    return this.last;
  }

  /** Advances the clock to a timestamp from another process. */
  observe(stamp: Timestamp): void {
    if (compareTimestamps(stamp, this.last) > 0) {
      this.last = stamp;
    }
  }
}
