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

/**
 * Time for which a late turn is remembered, in milliseconds: what had arrived by
 * its end may be read in several turns.
 */
const RECENT_MS = 1_000;

/** Bounds the time that input has waited, from regular beats of the loop. */
export class ReadLateness {
  private lastMs: number;
  /**
   * The beat before the last one. What is read between two beats may have
   * arrived in the turn of the loop that the first one began.
   */
  private previousMs: number;
  /** The last late turn: when it ended, and how late it was. */
  private lastLate = {endedAtMs: -Infinity, waitMs: 0};

  constructor(startMs: number) {
    this.lastMs = startMs;
    this.previousMs = startMs;
  }

  /** Records that a turn of the loop begins now, before it reads. */
  beat(nowMs: number): void {
    this.rememberLate(nowMs);
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

  /**
   * The same for what is read now or was there shortly before, such as the end
   * of a connection behind its last bytes.
   */
  recentMaxWaitMs(nowMs: number): number {
    const {endedAtMs, waitMs} = this.lastLate;
    const recentMs = nowMs - endedAtMs <= RECENT_MS ? waitMs : 0;
    return Math.max(recentMs, this.maxWaitMs(nowMs));
  }

  private rememberLate(nowMs: number): void {
    const waitMs = this.maxWaitMs(nowMs);
    if (waitMs === 0) {
      return;
    }
    const isRecent = nowMs - this.lastLate.endedAtMs <= RECENT_MS;
    const longestMs = isRecent ? this.lastLate.waitMs : 0;
    this.lastLate = {endedAtMs: nowMs, waitMs: Math.max(waitMs, longestMs)};
  }
}
