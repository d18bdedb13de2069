/**
 * How fast the events of one stream follow each other, as an early sample.
 *
 * Load: streams that go on for many seconds. Harm prevented: an engine whose
 * first token is on time and whose further ones take five times as long passes
 * for a good one, and shows only when its streams end. Pure: time is an
 * argument.
 */

/** Pauses that are measured; a few steps of an engine tell its pace. */
const MEASURED_PAUSES = 4;

/** Measures one stream. */
export class StreamPace {
  private firstAtMs: number | undefined;
  private lastAtMs = 0;
  private pauses = 0;
  private isTaken = false;

  /** Notes an event; returns the mean pause, in ms, once it is known. */
  record(nowMs: number): number | undefined {
    this.lastAtMs = nowMs;
    if (this.firstAtMs === undefined) {
      this.firstAtMs = nowMs;
      return undefined;
    }
    this.pauses++;
    return this.pauses >= MEASURED_PAUSES ? this.take() : undefined;
  }

  /** The mean pause, in ms, of a stream that ended sooner; once only. */
  take(): number | undefined {
    if (this.isTaken || this.firstAtMs === undefined || this.pauses === 0) {
      return undefined;
    }
    this.isTaken = true;
    return (this.lastAtMs - this.firstAtMs) / this.pauses;
  }
}
