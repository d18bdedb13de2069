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
const LEAST_TOKENS = 1_000;

/**
 * Weight of a sample that is slower than what is known. Waits only add to the
 * time that reading takes, so the fastest lately seen is what engines can do;
 * it fades in case they have turned slow.
 */
const FADING = 0.02;

/** Part of a latency target that the backlog may take at price. */
const FREE_PART = 0.4;

/** Learns how fast one service's engines read. */
export class ReadingBacklog {
  private msPerToken: number | undefined;

  /** Notes a first token that took `waitMs` after so many weighted tokens. */
  note(tokens: number, waitMs: number): void {
    if (tokens < LEAST_TOKENS) {
      return;
    }
    const sample = waitMs / tokens;
    const known = this.msPerToken ?? sample;
    this.msPerToken =
      sample < known ? sample : known + FADING * (sample - known);
  }

  /**
   * Time until prompts are read that wait now, in ms; 0 while it is not known
   * how fast engines read.
   *
   * @param waitingTokens weighted tokens that wait at all engines together.
   */
  waitMs(waitingTokens: number, engines: number): number {
    return ((this.msPerToken ?? 0) * waitingTokens) / Math.max(1, engines);
  }
}

/** How dear the capable model is while prompts wait that long; 1 at price. */
export const scarcityOfBacklog = (waitMs: number, targetMs: number): number =>
  Math.max(1, (waitMs / (FREE_PART * targetMs)) ** 2);
