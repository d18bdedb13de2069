/**
 * Bounds the processor time that a process spends on bodies which cost more than
 * they weigh. Pure.
 *
 * Load: a few senders whose bodies come in chunks of one byte, or in empty
 * events, as fast as the process reads. Harm prevented: the event loop does
 * nothing else, and requests that others could serve get no answer. Work is
 * counted in pieces: chunks of a body, and events in it, of any length.
 */

/** Pieces that one body may have at once before it is held. */
const BURST_PIECES = 8_192;

/** Pieces a second of one body that never wait: tokens of a long answer. */
const OWN_PIECES_PER_S = 500;

/**
 * Pieces a second of all bodies together, beyond what each has of its own. They
 * take some hundredths of a core.
 */
const SHARED_PIECES_PER_S = 25_000;

const MS_PER_S = 1_000;

/** What all bodies of one process may cost. */
export class ReadPace {
  /** Time until which the shared part is used up, in milliseconds. */
  private usedUntilMs = -Infinity;

  /** @param now monotonic time in milliseconds. */
  constructor(private readonly now: () => number) {}

  /** Begins a body. */
  begin(): BodyPace {
    return new BodyPace(this, this.now);
  }

  /**
   * Takes pieces of the shared part; returns the time until they are paid for,
   * in milliseconds.
   */
  takeShared(pieces: number): number {
    const nowMs = this.now();
    const fromMs = Math.max(nowMs, this.usedUntilMs);
    this.usedUntilMs = fromMs + (pieces * MS_PER_S) / SHARED_PIECES_PER_S;
    return this.usedUntilMs - nowMs;
  }
}

/** What one body may cost. */
export class BodyPace {
  private left = BURST_PIECES;
  private earnedAtMs: number;

  constructor(
    private readonly pace: ReadPace,
    private readonly now: () => number,
  ) {
    this.earnedAtMs = now();
  }

  /**
   * Counts pieces that were read; returns for how long the body must not be read
   * any further, in milliseconds.
   */
  count(pieces: number): number {
    this.left -= pieces;
    if (this.left < 0) {
      this.earn();
    }
    if (this.left >= 0) {
      return 0;
    }
    const shared = -this.left;
    this.left = 0;
    return this.pace.takeShared(shared);
  }

  /** Adds what the body has earned since it last needed it. */
  private earn(): void {
    const nowMs = this.now();
    const earned = ((nowMs - this.earnedAtMs) * OWN_PIECES_PER_S) / MS_PER_S;
    this.earnedAtMs = nowMs;
    this.left += Math.min(BURST_PIECES, earned);
  }
}
