/**
 * Estimates typical latencies by kind of work, and derives how long to wait
 * before another upstream is tried.
 *
 * Load: upstreams that accept requests and then hang or are slow, although
 * their health checks pass. Harm prevented: a caller spends all its time at one
 * of them; conversely, requests are doubled when all upstreams are slow. The
 * typical latency then grows, and the wait with it.
 */
import * as movingEstimate from './moving-estimate.js';

/** Multiple of the typical latency after which a plain request is hedged. */
const HEDGE_FACTOR = 3;

/**
 * The same for a first token. It is larger because the time to the first token
 * also depends on the prompt.
 */
const FIRST_TOKEN_FACTOR = 5;

/** Bounds of the wait, as fractions of the latency target. */
const HEDGE_RANGE = {min: 0.3, max: 0.6};
const FIRST_TOKEN_RANGE = {min: 0.55, max: 0.85};

/** Fraction of the pause target after which a silent stream fails over. */
const STALL_FRACTION = 1;

/**
 * Fraction of a stall or first-token timeout after which the upstream is
 * probed. The rest of the time is enough to continue at another upstream
 * without exceeding the allowed pause.
 */
const PROBE_FRACTION = 0.3;

const clamp = (value: number, min: number, max: number): number =>
  Math.min(max, Math.max(min, value));

/** Typical latencies measured by one instance. */
export class LatencyEstimates {
  private readonly byKind = new Map<string, movingEstimate.MovingEstimate>();

  /** Records a latency, in milliseconds, of a kind of work. */
  record(kind: string, latencyMs: number): void {
    const estimate =
      this.byKind.get(kind) ?? new movingEstimate.MovingEstimate();
    this.byKind.set(kind, estimate);
    estimate.add(latencyMs);
  }

  /** Wait for a plain answer before another upstream is tried, in ms. */
  hedgeDelayMs(kind: string, targetMs: number): number {
    return this.findDelayMs(kind, targetMs, HEDGE_FACTOR, HEDGE_RANGE);
  }

  /** Wait for a first token before another upstream is tried, in ms. */
  firstTokenTimeoutMs(kind: string, targetMs: number): number {
    return this.findDelayMs(
      kind,
      targetMs,
      FIRST_TOKEN_FACTOR,
      FIRST_TOKEN_RANGE,
    );
  }

  private findDelayMs(
    kind: string,
    targetMs: number,
    factor: number,
    range: {readonly min: number; readonly max: number},
  ): number {
    const estimate = this.byKind.get(kind);
    const typicalMs = estimate ? estimate.mean + estimate.deviation : 0;
    return clamp(
      factor * typicalMs,
      range.min * targetMs,
      range.max * targetMs,
    );
  }
}

/** Silence after which an upstream is probed, in ms. */
export const findProbeDelayMs = (timeoutMs: number): number =>
  PROBE_FRACTION * timeoutMs;

/** Silence after which a stream fails over to another upstream, in ms. */
export const findStallTimeoutMs = (pauseTargetMs: number): number =>
  STALL_FRACTION * pauseTargetMs;
