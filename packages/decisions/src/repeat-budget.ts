/**
 * How many requests one instance may send again, by what it sent within the
 * window in which operators count.
 *
 * Load: a fleet of which each instance sees a few requests a second, and every
 * other one wants a second, more capable model. Harm prevented: repeats that
 * multiply the load of upstreams which fail; and, the other way, repeats that
 * are refused though the fleet is far below its bound: saved up no further than
 * an instance's small part of the slack, what was earned a second before is
 * forgotten.
 *
 * In every window an instance's repeats stay within its part of the slack and
 * the ratio of its own requests; so do all together, without a message.
 */
import * as slidingCount from './sliding-count.js';

/** Settings of a budget. */
export interface RepeatBudgetOptions {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  readonly now: () => number;
}

/** Parts that make a whole sum to a little under 1 in floating point. */
const ROUNDING_TOLERANCE = 1e-9;

interface Counts {
  readonly requests: slidingCount.SlidingCount;
  readonly repeats: slidingCount.SlidingCount;
}

/** Repeats of one instance, for each service. */
export class RepeatBudget {
  private readonly byService = new Map<string, Counts>();
  private slack = 0;

  constructor(private readonly options: RepeatBudgetOptions) {}

  /** Sets this instance's part of the repeats on top of the ratio. */
  setSlack(slack: number): void {
    this.slack = slack;
  }

  /**
   * Whether there is a repeat to take.
   *
   * @param reserve part of the slack, 0 to 1, that must be left afterwards.
   */
  hasRepeat(service: string, reserve = 0): boolean {
    const left = this.leftFor(this.countsOf(service));
    return left >= 1 + reserve * this.slack - ROUNDING_TOLERANCE;
  }

  /** Notes that a request is sent for the first time. */
  recordRequest(service: string): void {
    this.countsOf(service).requests.add(this.options.now());
  }

  /** Takes one repeat; false when there is none left. */
  take(service: string): boolean {
    if (!this.hasRepeat(service)) {
      return false;
    }
    this.countsOf(service).repeats.add(this.options.now());
    return true;
  }

  private leftFor({requests, repeats}: Counts): number {
    const {now, ratio} = this.options;
    const at = now();
    return this.slack + ratio * requests.count(at) - repeats.count(at);
  }

  private countsOf(service: string): Counts {
    const known = this.byService.get(service);
    if (known) {
      return known;
    }
    const {windowMs} = this.options;
    const created = {
      requests: new slidingCount.SlidingCount(windowMs),
      repeats: new slidingCount.SlidingCount(windowMs),
    };
    this.byService.set(service, created);
    return created;
  }
}
