/**
 * For how long the store is known to have answered, whichever instance it was
 * that asked. Pure: time is an argument.
 */

/** A span of time, in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Longest time between two answers of the store that can't hide an outage in
 * which entries lapse, in milliseconds. An entry lapses after three of its
 * heartbeats, 3.6 s and more, of which one may have been missed before.
 */
export const MAX_ANSWER_GAP_MS = 2_200;

/** The latest span in which no silence was longer than that. */
export class StoreUptime {
  private span: TimeSpan | undefined;

  /** Start of the span; Infinity before any answer is known of. */
  get fromMs(): number {
    return this.span?.fromMs ?? Infinity;
  }

  /** Takes in a span in which the store answered this instance or another. */
  record(answered: TimeSpan): void {
    const {span} = this;
    if (!span) {
      this.span = answered;
    } else if (isContiguous(span, answered)) {
      this.span = {
        fromMs: Math.min(span.fromMs, answered.fromMs),
        toMs: Math.max(span.toMs, answered.toMs),
      };
    } else if (answered.toMs > span.toMs) {
      this.span = answered;
    }
  }
}

const isContiguous = (a: TimeSpan, b: TimeSpan): boolean =>
  a.fromMs - b.toMs <= MAX_ANSWER_GAP_MS &&
  b.fromMs - a.toMs <= MAX_ANSWER_GAP_MS;
