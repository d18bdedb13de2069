/**
 * Compares the times of one answer with the typical ones of its kind.
 *
 * Load: a rollout whose new version has few answers. Harm prevented: the slowest
 * answers are the ones that callers leave, that a second attempt overtakes or
 * that are still awaited when the version is judged; without them, those that
 * remain look fast. An answer that took at least twice the typical time so far
 * therefore counts before it ends. Pure: time is an argument.
 */

/** Typical times of a kind of answer, in ms; undefined if not known. */
export interface TypicalTimes {
  readonly firstByteMs: number | undefined;
  /** Pause between two events of a stream. */
  readonly paceMs: number | undefined;
}

/** Multiple of the typical time above which a time counts as slower. */
const SLOWER_FACTOR = 2;

/** Pauses after which the pace of a stream is compared. */
const COMPARED_PAUSES = 4;

/** Called at most once for each of the two times of an answer. */
export type RecordComparison = (isSlower: boolean) => void;

/** Whether a time is known, or only that it is at least as long. */
type TimeBound = 'exact' | 'at_least';

/** The times of one answer, as far as it has come. */
export class AnswerTiming {
  private firstByteAtMs: number | undefined;
  private firstEventAtMs: number | undefined;
  private lastEventAtMs: number | undefined;
  private pauses = 0;
  private isWaitCompared = false;
  private isPaceCompared = false;

  constructor(
    private readonly startedAtMs: number,
    private readonly typical: TypicalTimes,
    private readonly record: RecordComparison,
  ) {}

  /** Records the head of the answer. */
  recordFirstByte(nowMs: number): void {
    if (this.firstByteAtMs === undefined) {
      this.firstByteAtMs = nowMs;
      this.compareWait(nowMs - this.startedAtMs, 'exact');
    }
  }

  /** Records an event of a stream. */
  recordEvent(nowMs: number): void {
    if (this.firstEventAtMs === undefined) {
      this.firstEventAtMs = nowMs;
    } else {
      this.pauses++;
    }
    this.lastEventAtMs = nowMs;
    if (this.pauses === COMPARED_PAUSES) {
      this.comparePace(this.findPaceMs(nowMs, this.pauses), 'exact');
    }
  }

  /** Records that the answer is complete. */
  complete(): void {
    const {lastEventAtMs, pauses} = this;
    if (lastEventAtMs !== undefined && pauses > 0) {
      this.comparePace(this.findPaceMs(lastEventAtMs, pauses), 'exact');
    }
  }

  /**
   * Counts what is slower already, whatever comes. Call it while the answer is
   * awaited, and when it is given up.
   */
  checkOverdue(nowMs: number): void {
    if (this.firstByteAtMs === undefined) {
      this.compareWait(nowMs - this.startedAtMs, 'at_least');
    } else if (this.firstEventAtMs !== undefined) {
      this.comparePace(this.findPaceMs(nowMs, COMPARED_PAUSES), 'at_least');
    }
  }

  /** Mean of so many pauses since the first event. */
  private findPaceMs(nowMs: number, pauses: number): number {
    return (nowMs - (this.firstEventAtMs ?? nowMs)) / pauses;
  }

  private compareWait(waitMs: number, bound: TimeBound): void {
    this.isWaitCompared ||= this.compare(
      waitMs,
      this.typical.firstByteMs,
      bound,
    );
  }

  private comparePace(paceMs: number, bound: TimeBound): void {
    this.isPaceCompared ||= this.compare(paceMs, this.typical.paceMs, bound);
  }

  /** Returns whether the time counted. */
  private compare(
    timeMs: number,
    typicalMs: number | undefined,
    bound: TimeBound,
  ): boolean {
    if (typicalMs === undefined) {
      return false;
    }
    const isSlower = timeMs > SLOWER_FACTOR * typicalMs;
    const counts = bound === 'exact' || isSlower;
    if (counts) {
      this.record(isSlower);
    }
    return counts;
  }
}
