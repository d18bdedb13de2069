/**
 * What one entry instance knows of an upstream: its own requests there, the
 * load last reported, and how long answers take.
 */
import * as movingEstimate from './moving-estimate.js';

/** How a request to an upstream ended. */
export type UpstreamOutcome = 'answered' | 'failed' | 'cancelled';

/** Width and number of the time slots in which own requests are remembered. */
const HISTORY_STEP_MS = 250;
const HISTORY_STEPS = 32;

/** Age at which a report says nothing about the present. */
const REPORT_TTL_MS = 8000;

/**
 * Weight of a fresh report against own requests. Every instance sees the same
 * report, so that all of them together answer a difference of 1 by
 * w / (1 - w): below 1, and the herd dies out; at 1 and above it swings.
 */
const REPORT_WEIGHT = 0.3;

/**
 * Time in which half of a measured slowness is forgotten without new samples,
 * or an upstream once slow would never be tried again.
 */
const SLOWNESS_HALF_LIFE_MS = 10_000;

/** Largest power of 2 by which failures in a row make an upstream look slow. */
const MAX_FAILURE_EXPONENT = 6;

/** Answers that should have come, after which an upstream counts as stalled. */
const STALL_ANSWERS = 3;

/** Load and latency of one upstream as one entry instance sees them. */
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

  /** @param slots requests that the upstream batches at once. */
  constructor(
    readonly id: string,
    readonly zone: string,
    public slots: number,
  ) {}

  /** Notes that a request was sent. */
  start(nowMs: number): void {
    this.advanceHistory(nowMs);
    if (this.inFlight === 0) {
      this.lastChangeMs = nowMs;
    }
    this.inFlight++;
  }

  /**
   * Notes the end of a request.
   *
   * @param latencyMs time of a comparable unit of work: to the first token for
   *   model engines, of the whole call for plain services.
   */
  finish(outcome: UpstreamOutcome, latencyMs: number, nowMs: number): void {
    this.advanceHistory(nowMs);
    this.inFlight = Math.max(0, this.inFlight - 1);
    this.lastChangeMs = nowMs;
    switch (outcome) {
      case 'answered':
        this.consecutiveFailures = 0;
        // After a pause the new answer counts more than what went before, so
        // that a few trials show that an upstream is sound again.
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
   * Takes in a report.
   *
   * @param load requests at the upstream, from all entry instances.
   * @param measuredMs when it was measured; reports come late.
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

  /** Load of the last report, and own requests there at that moment. */
  get lastReport(): {readonly load: number; readonly own: number} {
    return {load: this.reportedLoad, own: this.ownAtReport};
  }

  /** Whether the last report still counts. */
  hasReport(nowMs: number): boolean {
    return nowMs - this.reportMs < REPORT_TTL_MS;
  }

  /**
   * Expected requests at the upstream from all entry instances.
   *
   * @param loadScale requests of all instances for each own one.
   */
  expectedLoad(loadScale: number, nowMs: number): number {
    const extrapolated = this.inFlight * loadScale;
    if (!this.hasReport(nowMs)) {
      return extrapolated;
    }
    // The report is brought up to date by what this instance did since.
    const since = this.inFlight - this.ownAtReport;
    const corrected = Math.max(0, this.reportedLoad + since);
    return (1 - REPORT_WEIGHT) * extrapolated + REPORT_WEIGHT * corrected;
  }

  /** Mean latency measured, or undefined before the first answer. */
  get measuredLatencyMs(): number | undefined {
    return this.latency.hasSamples ? this.latency.mean : undefined;
  }

  /**
   * Latency to expect, relative to `usualMs`, at least that of a sound
   * upstream that answers as usual.
   *
   * - Failing fast looks like being quick: without the failures a broken
   *   upstream would draw all requests.
   * - A stalled upstream gives no samples: its silence counts instead.
   */
  slowness(typicalMs: number, nowMs: number): number {
    const measured = this.latency.hasSamples ? this.latency.mean : typicalMs;
    const exponent = Math.min(this.consecutiveFailures, MAX_FAILURE_EXPONENT);
    const excess = (measured / typicalMs) * 2 ** exponent - 1;
    const remembered = excess > 0 ? 1 + excess * this.sampleWeightAt(nowMs) : 1;
    return Math.max(remembered, this.stallSlowness(typicalMs, nowMs));
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

  /** Brings the history up to `nowMs`. */
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
