/**
 * Retry budget per target and for all targets of an instance together:
 * retries may add at most a tenth to first attempts.
 *
 * Made for an overloaded or failing target: without a bound, each layer's
 * retries multiply the load that made it fail, and it never recovers.
 */

/**
 * Retries earned by each first attempt. A little under the 10% that retries
 * may add, as saved ones come on top: the bound holds over any 300 attempts.
 */
export const DEFAULT_RETRY_RATIO = 0.09;

/**
 * Most retries saved up, for one target and for all together: enough for one
 * lost connection, too few for a storm after a quiet hour.
 */
export const DEFAULT_RETRY_BURST = 3;

/** Tokens held at the start, so that a quiet target may be retried at all. */
const INITIAL_TOKENS = 1;

/** Parts that make a whole sum to a little under 1 in floating point. */
const ROUNDING_TOLERANCE = 1e-9;

/** Targets remembered; past it the least recently used one is forgotten. */
const MAX_TARGETS = 20_000;

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  readonly ratio?: number;
  readonly burst?: number;
  /** Retries at the start, at most `burst`; 1 by default. */
  readonly initial?: number;
}

/** Token buckets of retries, one for each target. */
export class RetryBudget {
  private readonly ratio: number;
  private burst: number;
  /** Over all targets: else each of many adds what it saved. */
  private sharedTokens: number;
  private readonly initial: number;
  private readonly tokens = new Map<string, number>();

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? DEFAULT_RETRY_RATIO;
    this.burst = options.burst ?? DEFAULT_RETRY_BURST;
    this.initial = Math.min(this.burst, options.initial ?? INITIAL_TOKENS);
    this.sharedTokens = this.initial;
  }

  /**
   * Whether there is a retry to take.
   *
   * @param reserve part of the burst, 0 to 1, that must be left afterwards.
   */
  hasRetry(target: string, reserve = 0): boolean {
    const left = Math.min(this.read(target), this.sharedTokens);
    return left >= 1 + reserve * this.burst - ROUNDING_TOLERANCE;
  }

  /** Changes how many retries may be saved up. */
  setBurst(burst: number): void {
    this.burst = burst;
  }

  /** Notes a first attempt at a target; each earns a part of a retry. */
  recordAttempt(target: string): void {
    this.sharedTokens = Math.min(this.burst, this.sharedTokens + this.ratio);
    this.write(target, Math.min(this.burst, this.read(target) + this.ratio));
  }

  /** Takes one retry from the budget; false when there is none left. */
  tryRetry(target: string): boolean {
    const tokens = this.read(target);
    if (!this.hasRetry(target)) {
      return false;
    }
    this.sharedTokens = Math.max(0, this.sharedTokens - 1);
    this.write(target, Math.max(0, tokens - 1));
    return true;
  }

  private read(target: string): number {
    return this.tokens.get(target) ?? this.initial;
  }

  private write(target: string, tokens: number): void {
    this.tokens.delete(target);
    this.tokens.set(target, tokens);
    if (this.tokens.size > MAX_TARGETS) {
      const [oldest] = this.tokens.keys();
      this.tokens.delete(oldest ?? target);
    }
  }
}
