/**
 * The repeats that the requests of one instance allow it whatever others send.
 *
 * Load: callers that move between instances while most requests fail. Harm
 * prevented: instances spend what they have saved for long just before their
 * callers go to others, which earn for the same callers; together they send more
 * than the limit of all. The clock is an option.
 */
import * as slidingCount from './sliding-count.js';

/** Options of `RepeatAllowance`. */
export interface RepeatAllowanceOptions {
  /** Repeats that one request adds. */
  readonly perRequest: number;
  readonly now: () => number;
}

/** Time for which a request adds to the allowance, in milliseconds. */
export const ALLOWANCE_LIFE_MS = 2_000;

/** Allowance of one instance for one service. */
export class RepeatAllowance {
  /** Requests that add to the allowance. */
  private readonly requests = new slidingCount.SlidingCount(ALLOWANCE_LIFE_MS);
  private saved: number;

  constructor(private readonly options: RepeatAllowanceOptions) {
    // Lets the first request after a start be repeated, and no more.
    this.saved = Math.max(0, 1 - options.perRequest);
  }

  /** Repeats that are left, without what was earned too long ago. */
  get left(): number {
    const {perRequest, now} = this.options;
    const earned = perRequest * this.requests.count(now());
    // An allowance below 1 could never be used.
    return Math.min(this.saved, Math.max(1, earned));
  }

  /** Records a request. */
  earn(): void {
    const {perRequest, now} = this.options;
    const {left} = this;
    this.requests.add(now());
    this.saved = left + perRequest;
  }

  /** Takes a repeat, or as much of one as is left; returns what it took. */
  take(): number {
    const {left} = this;
    const taken = Math.min(1, left);
    this.saved = left - taken;
    return taken;
  }
}
