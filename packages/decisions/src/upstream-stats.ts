/**
 * Load and outcome counts of one upstream: requests in progress, waiting
 * prompts, recent answers and failures, measured by this instance or reported
 * by others. The module reads no clock: time is an argument.
 */
import * as slidingCount from './sliding-count.js';

/** Window in which answers and failures are counted, in milliseconds. */
export const STATS_WINDOW_MS = 4_000;

/** Window over which the rate of sent prompt tokens is averaged, in ms. */
const WORK_WINDOW_MS = 2_000;

const MS_PER_S = 1_000;

/** Age at which another instance's report is dropped, in milliseconds. */
const PEER_REPORT_TTL_MS = 1_500;

/** Stats of one upstream at one time. */
export interface UpstreamSnapshot {
  readonly inFlight: number;
  /** Weighted tokens of prompts whose first byte has not arrived. */
  readonly waitingTokens: number;
  /** Recent rate of weighted prompt tokens sent, per second. */
  readonly tokensPerS: number;
  readonly answered: number;
  readonly failed: number;
}

/**
 * What a report covers: the requests of its sender alone, or those of the
 * instances that report to the sender as well.
 */
export type ReportScope = 'itself' | 'others';

interface PeerReport extends UpstreamSnapshot {
  readonly scope: ReportScope;
  readonly atMs: number;
}

/** Counts one upstream's requests and merges the reports of peers. */
export class UpstreamStats {
  /** Own requests in progress. */
  inFlight = 0;
  /** Weighted prompt tokens of own requests that wait for their first byte. */
  waitingTokens = 0;
  /** Failures since the last successful answer. */
  consecutiveFailures = 0;
  private readonly answered = new slidingCount.SlidingCount(STATS_WINDOW_MS);
  private failed = new slidingCount.SlidingCount(STATS_WINDOW_MS);
  private readonly sent = new slidingCount.SlidingSum(WORK_WINDOW_MS);
  private readonly peerReports = new Map<string, PeerReport>();

  /** Records the weighted tokens of a prompt that is sent. */
  recordPrompt(tokens: number, nowMs: number): void {
    this.sent.add(tokens, nowMs);
  }

  /** Records a successful answer. */
  recordAnswer(nowMs: number): void {
    this.consecutiveFailures = 0;
    this.answered.add(nowMs);
  }

  /** Records an answer that failed, was cut off or never arrived. */
  recordFailure(nowMs: number): void {
    this.consecutiveFailures++;
    this.failed.add(nowMs);
  }

  /** Drops all failures so far, also those that other instances reported. */
  forgetFailures(): void {
    this.consecutiveFailures = 0;
    this.failed = new slidingCount.SlidingCount(STATS_WINDOW_MS);
    for (const [instance, report] of this.peerReports) {
      this.peerReports.set(instance, {...report, failed: 0});
    }
  }

  /** Replaces the last report of another instance by this one. */
  merge(
    instance: string,
    snapshot: UpstreamSnapshot,
    scope: ReportScope,
    nowMs: number,
  ): void {
    this.peerReports.set(instance, {...snapshot, scope, atMs: nowMs});
  }

  /** Stats of this instance's own requests. */
  own(nowMs: number): UpstreamSnapshot {
    return {
      inFlight: this.inFlight,
      waitingTokens: this.waitingTokens,
      tokensPerS: (this.sent.sum(nowMs) * MS_PER_S) / WORK_WINDOW_MS,
      answered: this.answered.count(nowMs),
      failed: this.failed.count(nowMs),
    };
  }

  /**
   * Sum of the own stats and the recent reports of the instances that
   * `includes` accepts; by default all.
   */
  total(
    nowMs: number,
    includes: (instance: string, scope: ReportScope) => boolean = () => true,
  ): UpstreamSnapshot {
    let {inFlight, waitingTokens, tokensPerS, answered, failed} =
      this.own(nowMs);
    for (const [instance, report] of this.peerReports) {
      if (nowMs - report.atMs > PEER_REPORT_TTL_MS) {
        this.peerReports.delete(instance);
        continue;
      }
      if (!includes(instance, report.scope)) {
        continue;
      }
      inFlight += report.inFlight;
      waitingTokens += report.waitingTokens;
      tokensPerS += report.tokensPerS;
      answered += report.answered;
      failed += report.failed;
    }
    return {inFlight, waitingTokens, tokensPerS, answered, failed};
  }
}
