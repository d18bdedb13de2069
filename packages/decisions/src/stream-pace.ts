/**
 * Measures the mean pause between the events of a stream from its first events.
 *
 * Load: streams that last many seconds. Harm prevented: an engine whose first
 * token is on time, but whose further tokens take five times as long, is
 * considered healthy until its streams end. The module reads no clock: time is
 * an argument.
 */

/** Pauses to measure; a few steps of an engine show its pace. */
const MEASURED_PAUSES = 4;

/** Pace of one stream. */
export class StreamPace {
  private firstAtMs: number | undefined;
  private lastAtMs = 0;
  private pauses = 0;
  private isTaken = false;

  /**
   * Records an event. Returns the mean pause, in ms, when enough pauses have
   * been measured, and undefined before and after that.
   */
  record(nowMs: number): number | undefined {
    this.lastAtMs = nowMs;
    if (this.firstAtMs === undefined) {
      this.firstAtMs = nowMs;
      return undefined;
    }
    this.pauses++;
    return this.pauses >= MEASURED_PAUSES ? this.take() : undefined;
  }

  /**
   * Returns the mean pause, in ms, for a stream that ended early; undefined if
   * it was returned before or there is no pause.
   */
  take(): number | undefined {
    if (this.isTaken || this.firstAtMs === undefined || this.pauses === 0) {
      return undefined;
    }
    this.isTaken = true;
    return (this.lastAtMs - this.firstAtMs) / this.pauses;
  }
}
