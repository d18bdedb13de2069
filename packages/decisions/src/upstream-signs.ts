/**
 * What is known of how one upstream fares: requests in progress, answers and
 * failures of the last seconds, seen here or told by other instances. Pure.
 */
import * as slidingCount from './sliding-count.js';

/** Time for which answers and failures count, in milliseconds. */
export const SIGNS_WINDOW_MS = 4_000;

/** Time over which the work that is sent is averaged, in milliseconds. */
const WORK_WINDOW_MS = 2_000;

const MS_PER_S = 1_000;

/** Time for which what another instance told counts, in milliseconds. */
const HEARSAY_MS = 1_500;

/** What another instance saw. */
export interface HeardSigns {
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
export type SignsScope = 'itself' | 'others';

interface Hearsay extends HeardSigns {
  readonly scope: SignsScope;
  readonly atMs: number;
}

/** Signs of one upstream. */
export class UpstreamSigns {
  /** Own requests in progress. */
  inFlight = 0;
  /** Weighted prompt tokens of own requests without a first byte yet. */
  waitingTokens = 0;
  /** Failures since the last good answer. */
  failuresInRow = 0;
  private readonly answered = new slidingCount.SlidingCount(SIGNS_WINDOW_MS);
  private readonly failed = new slidingCount.SlidingCount(SIGNS_WINDOW_MS);
  private readonly sent = new slidingCount.SlidingSum(WORK_WINDOW_MS);
  private readonly heard = new Map<string, Hearsay>();

  /** Notes the weighted tokens of a prompt that is sent. */
  notePrompt(tokens: number, nowMs: number): void {
    this.sent.add(tokens, nowMs);
  }

  /** Notes a good answer. */
  noteAnswer(nowMs: number): void {
    this.failuresInRow = 0;
    this.answered.add(nowMs);
  }

  /** Notes an answer that failed, broke off or did not come. */
  noteFailure(nowMs: number): void {
    this.failuresInRow++;
    this.failed.add(nowMs);
  }

  /** Takes in what another instance told. */
  hear(
    instance: string,
    signs: HeardSigns,
    scope: SignsScope,
    nowMs: number,
  ): void {
    this.heard.set(instance, {...signs, scope, atMs: nowMs});
  }

  /** What this instance tells. */
  own(nowMs: number): HeardSigns {
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
    counts: (instance: string, scope: SignsScope) => boolean = () => true,
  ): HeardSigns {
    let {inFlight, waitingTokens, tokensPerS, answered, failed} =
      this.own(nowMs);
    for (const [instance, signs] of this.heard) {
      if (nowMs - signs.atMs > HEARSAY_MS) {
        this.heard.delete(instance);
        continue;
      }
      if (!counts(instance, signs.scope)) {
        continue;
      }
      inFlight += signs.inFlight;
      waitingTokens += signs.waitingTokens;
      tokensPerS += signs.tokensPerS;
      answered += signs.answered;
      failed += signs.failed;
    }
    return {inFlight, waitingTokens, tokensPerS, answered, failed};
  }
}
