/** Refusal at once while the platform is out, with one probe at a time. */
import type * as ports from '@amaranthknot/ports';

/** Bounds of the time between two probes, in milliseconds. */
export interface CircuitBreakerOptions {
  readonly clock: ports.Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Shortest time between probes; the longest is twice it. */
  readonly minProbeIntervalMs: number;
}

/** A refusal that is certain: no part of the request was sent anywhere. */
export interface Refusal {
  readonly ran: 'not_run';
  /** When to come back, in milliseconds, jittered. */
  readonly retryAfterMs: number;
}

/**
 * Remembers that the platform failed.
 *
 * Load: 15,000 requests/s in a platform outage. Without it each request waits
 * for a timeout of its own, which fills memory and makes refusals late; and
 * when the platform returns, every instance calls at once. One jittered probe
 * per instance and window keeps the returning platform's load at a few calls
 * per instance.
 */
export class CircuitBreaker {
  private openUntil: number | undefined;

  constructor(private readonly options: CircuitBreakerOptions) {}

  /** Whether a call may go out now; in an outage only one per window may. */
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

  /** Notes a call that the platform answered. */
  recordSuccess(): void {
    this.openUntil = undefined;
  }

  /** Notes a call that failed for want of the platform. */
  recordFailure(): void {
    this.trip();
  }

  /** A refusal that asks callers back after the next probe, spread out. */
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
