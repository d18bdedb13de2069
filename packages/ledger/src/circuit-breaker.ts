/** Circuit breaker for the platform: refuses at once while it is down. */
import type * as ports from '@amaranthknot/ports';

/** Dependencies and settings of a `CircuitBreaker`. */
export interface CircuitBreakerOptions {
  readonly clock: ports.Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /**
   * Minimum time between two probes, in milliseconds; the maximum is twice it.
   */
  readonly minProbeIntervalMs: number;
}

/** A refusal of a request of which nothing was sent anywhere. */
export interface Refusal {
  readonly ran: 'not_run';
  /** Time after which the caller may retry, in milliseconds, jittered. */
  readonly retryAfterMs: number;
}

/**
 * Opens when a call to the platform fails, and closes when one succeeds.
 *
 * Load: 15,000 requests/s during a platform outage. Without it each request
 * waits for its own timeout, which fills memory and delays refusals, and all
 * instances call at once when the platform recovers. One jittered probe per
 * instance and window limits the load on a recovering platform to a few calls
 * per instance.
 */
export class CircuitBreaker {
  private openUntil: number | undefined;

  constructor(private readonly options: CircuitBreakerOptions) {}

  /** Whether a call may be made now; while open, one per window may. */
  allowCall(): boolean {
    if (this.openUntil === undefined) {
      return true;
    }
    if (this.options.clock.now() < this.openUntil) {
      return false;
    }
    this.trip();
    return true;
  }

  /** Records a call that the platform answered. */
  recordSuccess(): void {
    this.openUntil = undefined;
  }

  /** Records a call that failed because the platform is down. */
  recordFailure(): void {
    this.trip();
  }

  /** Refusal whose retry time is after the next probe, with jitter. */
  createRefusal(): Refusal {
    const {clock, random, minProbeIntervalMs} = this.options;
    const left = Math.max(0, (this.openUntil ?? 0) - clock.now());
    const jitterMs = minProbeIntervalMs * (1 + random());
    return {ran: 'not_run', retryAfterMs: Math.ceil(left + jitterMs)};
  }

  private trip(): void {
    const {clock, random, minProbeIntervalMs} = this.options;
    this.openUntil = clock.now() + minProbeIntervalMs * (1 + random());
  }
}
