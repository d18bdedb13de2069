/**
 * What is known of how one upstream fares: requests in progress, answers and
 * failures of the last seconds, seen here or told by other instances. Pure.
 */
import * as slidingCount from './sliding-count.js';

/** Time for which answers and failures count, in milliseconds. */
export const STATS_WINDOW_MS = 4_000;

/** Time over which the work that is sent is averaged, in milliseconds. */
const WORK_WINDOW_MS = 2_000;

const MS_PER_S = 1_000;

/** Time for which what another instance told counts, in milliseconds. */
const PEER_REPORT_TTL_MS = 1_500;

/** What another instance saw. */
export interface UpstreamSnapshot {
  readonly inFlight: number;
  /** Weighted tokens of prompts whose answers have not begun. */
  readonly waitingTokens: number;
  /** Weighted prompt tokens sent in the last seconds, a second. */
  readonly tokensPerS: number;
  readonly answered: number;
  readonly failed: number;
}

/**
 * Of whom another instance told: of itself, or of all that report to it as
 * well.
 */
export type ReportScope = 'itself' | 'others';

interface PeerReport extends UpstreamSnapshot {
  readonly scope: ReportScope;
  readonly atMs: number;
}

/** Signs of one upstream. */
export class UpstreamStats {
  /** Own requests in progress. */
  inFlight = 0;
  /** Weighted prompt tokens of own requests without a first byte yet. */
  waitingTokens = 0;
  /** Failures since the last good answer. */
  consecutiveFailures = 0;
  private readonly answered = new slidingCount.SlidingCount(STATS_WINDOW_MS);
  private readonly failed = new slidingCount.SlidingCount(STATS_WINDOW_MS);
  private readonly sent = new slidingCount.SlidingSum(WORK_WINDOW_MS);
  private readonly peerReports = new Map<string, PeerReport>();

  /** Notes the weighted tokens of a prompt that is sent. */
  recordPrompt(tokens: number, nowMs: number): void {
    this.sent.add(tokens, nowMs);
  }

  /** Notes a good answer. */
  recordAnswer(nowMs: number): void {
    this.consecutiveFailures = 0;
    this.answered.add(nowMs);
  }

  /** Notes an answer that failed, broke off or did not come. */
  recordFailure(nowMs: number): void {
    this.consecutiveFailures++;
    this.failed.add(nowMs);
  }

  /** Takes in what another instance told. */
  merge(
    instance: string,
    snapshot: UpstreamSnapshot,
    scope: ReportScope,
    nowMs: number,
  ): void {
    this.peerReports.set(instance, {...snapshot, scope, atMs: nowMs});
  }

  /** What this instance tells. */
  own(nowMs: number): UpstreamSnapshot {
    return {
      inFlight: this.inFlight,
      waitingTokens: this.waitingTokens,
      tokensPerS: (this.sent.sum(nowMs) * MS_PER_S) / WORK_WINDOW_MS,
      answered: this.answered.count(nowMs),
      failed: this.failed.count(nowMs),
    };
  }

  /** Own signs and those heard of lately, added up, from whom `counts` says. */
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
