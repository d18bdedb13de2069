/**
 * Bounds how long what a process reads now may have lain unread.
 *
 * Made for an instance that gets more work than its processor bears for some
 * seconds: at a common start, in a burst, or where it is paused. A turn of its
 * event loop then takes a second, and what it reads has arrived in the turn
 * before. Without the bound it counts time left from the reading, and sends
 * requests whose callers have left.
 */

/** Interval of the beats that a process has to record, in milliseconds. */
export const BEAT_INTERVAL_MS = 50;

/**
 * Age of the beat before the last one above which a process counts as late, in
 * milliseconds: two intervals, and as much again for timers that fire late.
 */
const LATE_MS = 4 * BEAT_INTERVAL_MS;

/** Bounds the time that input has waited, from regular beats of the loop. */
export class ReadLateness {
  private lastMs: number;
  /**
   * The beat before the last one. What is read between two beats may have
   * arrived in the turn of the loop that the first one began.
   */
  private previousMs: number;

  constructor(startMs: number) {
    this.lastMs = startMs;
    this.previousMs = startMs;
  }

  /** Records that a turn of the loop begins now, before it reads. */
  beat(nowMs: number): void {
    this.previousMs = this.lastMs;
    this.lastMs = nowMs;
  }

  /**
   * Longest time for which what is read now may have waited, in milliseconds; 0
   * while the loop is on time, where it has waited for less than `LATE_MS`.
   */
  maxWaitMs(nowMs: number): number {
    const waitMs = nowMs - this.previousMs;
    return waitMs > LATE_MS ? waitMs : 0;
  }
}
