/**
 * For how long the store is known to have answered, to this instance or any
 * other. Pure: time is an argument.
 */

/** A span of time, in milliseconds. */
export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Longest time between two answers of the store that can't hide an outage in
 * which entries expire, in milliseconds. An entry expires after three of its
 * heartbeats, 3.6 s or more, one of which may have been missed before.
 */
export const MAX_ANSWER_GAP_MS = 2_200;

/**
 * The latest span in which no gap between answers exceeded `MAX_ANSWER_GAP_MS`.
 */
export class StoreUptime {
  private span: TimeSpan | undefined;

  /** Start of the span; Infinity if no answer is known. */
  get fromMs(): number {
    return this.span?.fromMs ?? Infinity;
  }

  /** Records a span in which the store answered this instance or another. */
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
