/**
 * Limits the repeats of one instance, relative to the requests that it sent
 * within the window in which operators count. A repeat is any further sending
 * of a request: a retry, or a run of the capable model after the cheap one.
 *
 * Load: instances that each see a few requests a second, of which every other
 * one needs a second, more capable model. Harm prevented: repeats that multiply
 * the load of failing upstreams; and repeats that are refused although the
 * fleet is far below its limit. A token bucket capped at an instance's small
 * share of the slack would cause the latter, as it discards what was earned a
 * second before.
 *
 * In every window, the repeats of an instance stay within its share of the
 * slack plus the ratio of its own requests. So the repeats of all instances
 * stay within the total, without messages between them.
 */
import * as slidingCount from './sliding-count.js';

/** Options of `RepeatBudget`. */
export interface RepeatBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  readonly now: () => number;
}

/** Fractions that add up to 1 may sum to slightly less in floating point. */
const ROUNDING_TOLERANCE = 1e-9;

interface Counts {
  readonly requests: slidingCount.SlidingCount;
  readonly repeats: slidingCount.SlidingCount;
}

/** What a decision on a repeat depends on, over the window that ends now. */
export interface RepeatInputs {
  /** First sends of this instance. */
  readonly ownRequests: number;
  /** Repeats that this instance was granted. */
  readonly ownRepeats: number;
  /** This instance's share of the repeats allowed on top of the ratio. */
  readonly repeatSlack: number;
}

/** Repeat budget of one instance, kept separately for each service. */
export class RepeatBudget {
  private readonly byService = new Map<string, Counts>();
  private slack = 0;

  constructor(private readonly options: RepeatBudgetOptions) {}

  /** Sets this instance's share of the repeats allowed on top of the ratio. */
  setSlack(slack: number): void {
    this.slack = slack;
  }

  /**
   * Whether a repeat is available.
   *
   * @param reserve fraction of the slack, 0 to 1, that must remain afterwards.
   */
  hasRepeat(service: string, reserve = 0): boolean {
    const left = this.leftFor(this.countsOf(service));
    return left >= 1 + reserve * this.slack - ROUNDING_TOLERANCE;
  }

  /** Records the first sending of a request. */
  recordRequest(service: string): void {
    this.countsOf(service).requests.add(this.options.now());
  }

  /** Takes one repeat from the budget; returns false when none is left. */
  take(service: string): boolean {
    if (!this.hasRepeat(service)) {
      return false;
    }
    this.countsOf(service).repeats.add(this.options.now());
    return true;
  }

  /** What the next decision on a repeat depends on. */
  describe(service: string): RepeatInputs {
    const {requests, repeats} = this.countsOf(service);
    const at = this.options.now();
    return {
      ownRequests: requests.count(at),
      ownRepeats: repeats.count(at),
      repeatSlack: this.slack,
    };
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
