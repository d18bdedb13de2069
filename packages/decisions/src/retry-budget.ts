/**
 * Limits the retries of an instance, for each target and for all targets
 * together, to at most a tenth of the first attempts.
 *
 * Load: an overloaded or failing target. Harm prevented: unbounded retries of
 * each layer multiply the load that made the target fail, and it never
 * recovers.
 */

/**
 * Retries earned by each first attempt. A little under the 10% that retries
 * may add, as saved retries come on top: 10% holds over any 300 attempts.
 */
export const DEFAULT_RETRY_RATIO = 0.09;

/**
 * Maximum retries saved up, for one target and for all together: enough for
 * one lost connection, too few for a retry storm after an hour of low load.
 */
export const DEFAULT_RETRY_BURST = 3;

/** Tokens at the start, so that a rarely used target may be retried at all. */
const INITIAL_TOKENS = 1;

/** Fractions that add up to 1 may sum to slightly less in floating point. */
const ROUNDING_TOLERANCE = 1e-9;

/** Maximum targets tracked; beyond it the least recently used is evicted. */
const MAX_TARGETS = 20_000;

/** Options of `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  readonly ratio?: number;
  /** Maximum retries saved up. */
  readonly burst?: number;
  /** Retries available at the start, at most `burst`; 1 by default. */
  readonly initial?: number;
}

/** Token buckets of retries: one for each target, and a shared one. */
export class RetryBudget {
  private readonly ratio: number;
  private burst: number;
  /** Bounds all targets together, as each of many may have saved retries. */
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
   * Whether a retry is available.
   *
   * @param reserve fraction of the burst, 0 to 1, that must remain afterwards.
   */
  hasRetry(target: string, reserve = 0): boolean {
    const left = Math.min(this.read(target), this.sharedTokens);
    return left >= 1 + reserve * this.burst - ROUNDING_TOLERANCE;
  }

  /** Changes the maximum number of retries saved up. */
  setBurst(burst: number): void {
    this.burst = burst;
  }

  /** Records a first attempt at a target, which earns a fraction of a retry. */
  recordAttempt(target: string): void {
    this.sharedTokens = Math.min(this.burst, this.sharedTokens + this.ratio);
    this.write(target, Math.min(this.burst, this.read(target) + this.ratio));
  }

  /** Takes one retry from the budget; returns false when none is left. */
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
