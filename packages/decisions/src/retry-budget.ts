/**
 * Retry budget per target: retries may add at most a tenth to first attempts.
 *
 * Made for an overloaded or failing target: without a bound, each layer's
 * retries multiply the load that made it fail, and it never recovers.
 */

/** Retries allowed for each first attempt; 10%, as is common practice. */
export const DEFAULT_RETRY_RATIO = 0.1;

/**
 * Most retries saved up: enough for a single failed connection pool, too few
 * for a storm after a quiet hour.
 */
export const DEFAULT_RETRY_BURST = 10;

/** Tokens held at the start, so that a quiet target may be retried at all. */
const INITIAL_TOKENS = 1;

/** Ten tenths sum to a little under 1 in floating point. */
const ROUNDING = 1e-9;

/** Targets remembered; past it the least recently used one is forgotten. */
const MAX_TARGETS = 20_000;

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
  readonly ratio?: number;
  readonly burst?: number;
}

/** Token buckets of retries, one for each target. */
export class RetryBudget {
  private readonly ratio: number;
  private readonly burst: number;
  private readonly tokens = new Map<string, number>();

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? DEFAULT_RETRY_RATIO;
    this.burst = options.burst ?? DEFAULT_RETRY_BURST;
  }

  /** Notes a first attempt at a target; each earns a part of a retry. */
  recordAttempt(target: string): void {
    this.write(target, Math.min(this.burst, this.read(target) + this.ratio));
  }

  /** Takes one retry from the budget; false when there is none left. */
  tryRetry(target: string): boolean {
    const tokens = this.read(target);
    if (tokens < 1 - ROUNDING) {
      return false;
    }
    this.write(target, Math.max(0, tokens - 1));
    return true;
  }

  private read(target: string): number {
    return this.tokens.get(target) ?? INITIAL_TOKENS;
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
