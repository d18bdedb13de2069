/**
 * How long the prompts that wait at a service's engines take to be read.
 *
 * Load: a crowd, or engines lost, so that prompts come faster than the engines
 * that are left read them. Harm prevented: doubtful answers asked for again at
 * a capable model whose queue is already longer than callers wait; and, the
 * other way, weak answers passed on while engines are merely busy. The wait of
 * an answer that has come tells of a queue as it was seconds ago; the prompts
 * that wait now tell what the next one will meet.
 */

/** Prompts below this many weighted tokens tell little about reading. */
const MIN_TOKENS = 1_000;

/**
 * Weight of a sample that is slower than what is known. Waits only add to the
 * time that reading takes, so the fastest lately seen is what engines can do;
 * it fades in case they have turned slow.
 */
const SLOWER_SAMPLE_WEIGHT = 0.02;

/**
 * Time in which half of what was learned fades while no prompt is read, in ms.
 *
 * Guards against an instance that has only seen a crowd: it takes the crowd's
 * waits for the engines' speed, finds the capable model too dear for any
 * answer, and never sees a prompt read that would show otherwise.
 */
const HALF_LIFE_MS = 4_000;

/** Part of a latency target that the backlog may take at price. */
const FREE_FRACTION = 0.4;

/** Learns how fast one service's engines read. */
export class PrefillBacklog {
  private msPerToken: number | undefined;
  private lastSampleMs = 0;

  /** Notes a first token that took `waitMs` after so many weighted tokens. */
  record(tokens: number, waitMs: number, nowMs: number): void {
    if (tokens < MIN_TOKENS) {
      return;
    }
    const sample = waitMs / tokens;
    const known = this.msPerTokenAt(nowMs) ?? sample;
    this.lastSampleMs = nowMs;
    this.msPerToken =
      sample < known ? sample : known + SLOWER_SAMPLE_WEIGHT * (sample - known);
  }

  /**
   * Time until prompts are read that wait now, in ms; 0 while it is not known
   * how fast engines read.
   *
   * @param waitingTokens weighted tokens that wait at all engines together.
   */
  waitMs(waitingTokens: number, engines: number, nowMs: number): number {
    const msPerToken = this.msPerTokenAt(nowMs) ?? 0;
    return (msPerToken * waitingTokens) / Math.max(1, engines);
  }

  /** Time that a token takes to be read, in ms, as far as it is known. */
  private msPerTokenAt(nowMs: number): number | undefined {
    const idleMs = Math.max(0, nowMs - this.lastSampleMs);
    return this.msPerToken && this.msPerToken * 2 ** (-idleMs / HALF_LIFE_MS);
  }
}

/** How dear the capable model is while prompts wait that long; 1 at price. */
export const scarcityOfBacklog = (waitMs: number, targetMs: number): number =>
  Math.max(1, (waitMs / (FREE_FRACTION * targetMs)) ** 2);
