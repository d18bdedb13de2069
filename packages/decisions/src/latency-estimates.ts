/**
 * Usual latencies by kind of work, and how long to wait before a second
 * upstream is tried.
 *
 * Load: upstreams that accept requests and hang, or have turned slow, while
 * their health is good. Harm prevented: a caller waits out its whole time at
 * one of them; and, the other way, requests doubled when all are slow: what is
 * usual then grows, and so does the wait.
 */
import * as movingEstimate from './moving-estimate.js';

/** Multiple of what is usual after which a plain request is tried elsewhere. */
const HEDGE_FACTOR = 3;

/** The same for a first token, which depends on the prompt as well. */
const FIRST_TOKEN_FACTOR = 5;

/** Parts of the latency target between which the wait lies. */
const HEDGE_RANGE = {min: 0.3, max: 0.6};
const FIRST_TOKEN_RANGE = {min: 0.55, max: 0.85};

/** Part of the longest pause after which a silent stream is taken elsewhere. */
const STALL_FRACTION = 1;

/**
 * Part of a pause, or of the wait for a first token, after which it is asked
 * whether the upstream can still be reached. What is left is enough to go on
 * elsewhere without a pause that is too long.
 */
const PROBE_FRACTION = 0.3;

const clamp = (value: number, min: number, max: number): number =>
  Math.min(max, Math.max(min, value));

/** Latencies seen by one instance. */
export class LatencyEstimates {
  private readonly byKind = new Map<string, movingEstimate.MovingEstimate>();

  /** Notes a latency, in milliseconds, of a kind of work. */
  record(kind: string, latencyMs: number): void {
    const estimate =
      this.byKind.get(kind) ?? new movingEstimate.MovingEstimate();
    this.byKind.set(kind, estimate);
    estimate.add(latencyMs);
  }

  /** Wait for a plain answer until another upstream is tried, in ms. */
  hedgeDelayMs(kind: string, targetMs: number): number {
    return this.findDelayMs(kind, targetMs, HEDGE_FACTOR, HEDGE_RANGE);
  }

  /** Wait for a first token until another upstream is tried, in ms. */
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

/** Silence after which a stream is taken to another upstream, in ms. */
export const findStallTimeoutMs = (pauseTargetMs: number): number =>
  STALL_FRACTION * pauseTargetMs;
