/**
 * Load and latency of one upstream as one entry instance estimates them from
 * its own requests and the last load report.
 */
import * as movingEstimate from './moving-estimate.js';

/** How a request to an upstream ended. */
export type UpstreamOutcome = 'answered' | 'failed' | 'cancelled';

/** Width and number of the steps in the history of own requests. */
const HISTORY_STEP_MS = 250;
const HISTORY_STEPS = 32;

/** Age at which a load report is ignored, in milliseconds. */
const REPORT_TTL_MS = 8000;

/**
 * Weight w of a fresh report against the load extrapolated from own requests.
 * All instances see the same report, and together they respond to a difference
 * of 1 with w / (1 - w) requests. Below 1 the response dies out; at 1 and above
 * the load oscillates.
 */
const REPORT_WEIGHT = 0.3;

/**
 * Half-life of a measured slowness without new samples. Without this decay an
 * upstream that was slow once would never be tried again.
 */
const SLOWNESS_HALF_LIFE_MS = 10_000;

/** Maximum exponent of 2 by which consecutive failures multiply the latency. */
const MAX_FAILURE_EXPONENT = 6;

/** Number of overdue answers after which an upstream counts as stalled. */
const STALL_ANSWERS = 3;

/** Tracks the load and latency of one upstream for one entry instance. */
export class UpstreamLoad {
  /** Own requests in progress there. */
  inFlight = 0;
  private readonly latency = new movingEstimate.MovingEstimate();
  private readonly history = new Uint32Array(HISTORY_STEPS);
  private historyStep = 0;
  private lastChangeMs = 0;
  private lastSampleMs = 0;
  private consecutiveFailures = 0;
  private reportedLoad = 0;
  private ownAtReport = 0;
  private reportMs = -Infinity;

  /** @param slots number of requests that the upstream batches at once. */
  constructor(
    readonly id: string,
    readonly zone: string,
    public slots: number,
  ) {}

  /** Records that a request was sent. */
  start(nowMs: number): void {
    this.advanceHistory(nowMs);
    if (this.inFlight === 0) {
      this.lastChangeMs = nowMs;
    }
    this.inFlight++;
  }

  /**
   * Records the end of a request.
   *
   * @param latencyMs time to the first token for model engines, time of the
   *   whole call for plain services, so that latencies are comparable.
   */
  finish(outcome: UpstreamOutcome, latencyMs: number, nowMs: number): void {
    this.advanceHistory(nowMs);
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.lastChangeMs = nowMs;
    switch (outcome) {
      case 'answered':
        this.consecutiveFailures = 0;
        // After a pause a new sample weighs more than past ones, so that a few
        // answers show that an upstream has recovered.
        this.latency.add(latencyMs, 1 - this.sampleWeightAt(nowMs));
        this.lastSampleMs = nowMs;
        break;
      case 'failed':
        this.consecutiveFailures++;
        this.lastSampleMs = nowMs;
        break;
      case 'cancelled':
        break;
    }
  }

  /**
   * Applies a load report, unless a later one has been applied.
   *
   * @param load requests at the upstream, from all entry instances.
   * @param measuredMs when it was measured; reports arrive late.
   */
  report(load: number, measuredMs: number): void {
    if (measuredMs <= this.reportMs) {
      return;
    }
    this.advanceHistory(measuredMs);
    this.reportedLoad = load;
    this.reportMs = measuredMs;
    this.ownAtReport = this.ownAt(measuredMs);
  }

  /** Load of the last report, and own requests when it was measured. */
  get lastReport(): {readonly load: number; readonly own: number} {
    return {load: this.reportedLoad, own: this.ownAtReport};
  }

  /** Whether the last report is recent enough to be used. */
  hasReport(nowMs: number): boolean {
    return nowMs - this.reportMs < REPORT_TTL_MS;
  }

  /**
   * Expected requests at the upstream from all entry instances.
   *
   * @param loadScale ratio of all instances' requests to own ones.
   */
  expectedLoad(loadScale: number, nowMs: number): number {
    const extrapolated = this.inFlight * loadScale;
    if (!this.hasReport(nowMs)) {
      return extrapolated;
    }
    // Add what this instance started and finished since the report.
    const since = this.inFlight - this.ownAtReport;
    const corrected = Math.max(0, this.reportedLoad + since);
    return (1 - REPORT_WEIGHT) * extrapolated + REPORT_WEIGHT * corrected;
  }

  /** Mean latency measured, or undefined before the first answer. */
  get measuredLatencyMs(): number | undefined {
    return this.latency.hasSamples ? this.latency.mean : undefined;
  }

  /**
   * Expected latency relative to `typicalMs`; at least 1, the value of a
   * healthy upstream.
   *
   * - Failures count as slowness: an upstream that fails fast would otherwise
   *   look quick and attract all requests.
   * - A stalled upstream gives no samples, so the time without an answer is
   *   used instead.
   */
  slowness(typicalMs: number, nowMs: number): number {
    const measured = this.latency.hasSamples ? this.latency.mean : typicalMs;
    const exponent = Math.min(this.consecutiveFailures, MAX_FAILURE_EXPONENT);
    const excess = (measured / typicalMs) * 2 ** exponent - 1;
    const decayed = excess > 0 ? 1 + excess * this.sampleWeightAt(nowMs) : 1;
    return Math.max(decayed, this.stallSlowness(typicalMs, nowMs));
  }

  private sampleWeightAt(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.lastSampleMs);
    return 2 ** (-ageMs / SLOWNESS_HALF_LIFE_MS);
  }

  private stallSlowness(typicalMs: number, nowMs: number): number {
    if (this.inFlight === 0) {
      return 0;
    }
    const quietMs = nowMs - this.lastChangeMs;
    return (quietMs * this.inFlight) / (STALL_ANSWERS * typicalMs);
  }

  /** Fills the history with the present count up to `nowMs`. */
  private advanceHistory(nowMs: number): void {
    const step = Math.floor(nowMs / HISTORY_STEP_MS);
    const first = Math.max(this.historyStep, step - HISTORY_STEPS + 1);
    for (let passed = first; passed < step; passed++) {
      this.history[passed % HISTORY_STEPS] = this.inFlight;
    }
    this.historyStep = Math.max(step, this.historyStep);
  }

  private ownAt(timeMs: number): number {
    const step = Math.floor(timeMs / HISTORY_STEP_MS);
    if (step >= this.historyStep || this.historyStep - step >= HISTORY_STEPS) {
      return this.inFlight;
    }
    return this.history[step % HISTORY_STEPS] ?? this.inFlight;
  }
}
