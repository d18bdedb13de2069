/**
 * Whether requests of one instance show that an upstream was away: one that was
 * may have restarted, and be cold, whatever its entry in the store says.
 *
 * Load: an upstream that crashes, loses power or falls silent under requests of
 * many instances, each of which sends only a few there. Pure: the clock is an
 * option.
 */

/** How an attempt ended at an upstream that had sent nothing back. */
export type UnansweredOutcome =
  /** No connection, or one to another upstream. */
  | 'unreachable'
  /** The connection broke, or the answer did not come in time. */
  | 'failed'
  /** It was not awaited any longer. */
  | 'cancelled';

/** Options of `AbsenceSigns`. */
export interface AbsenceSignsOptions {
  readonly now: () => number;
}

/** Attempts in a row without an answer that show an absence. */
const UNANSWERED_LIMIT = 2;

/** Time within which they have to end, in milliseconds. */
const UNANSWERED_WINDOW_MS = 2_000;

/**
 * Longest time between two parts of answers of an upstream that was there all
 * the while, in milliseconds: less than a restart takes.
 */
const MAX_GAP_MS = 400;

interface Row {
  /** Last part of an answer. */
  answeredAtMs: number;
  /** Since when such parts came without a longer gap. */
  aliveSinceMs: number;
  /** Ends of attempts without an answer since then, the latest ones. */
  unansweredMs: readonly number[];
}

/** The signs that one instance sees itself, by id of the upstream. */
export class AbsenceSigns {
  private readonly rows = new Map<string, Row>();

  constructor(private readonly options: AbsenceSignsOptions) {}

  /** Records a part of an answer of an upstream, or a refusal. */
  recordAnswer(id: string): void {
    const now = this.options.now();
    const row = this.rows.get(id);
    if (!row) {
      const times = {answeredAtMs: now, aliveSinceMs: now};
      this.rows.set(id, {...times, unansweredMs: []});
      return;
    }
    if (now - row.answeredAtMs > MAX_GAP_MS) {
      row.aliveSinceMs = now;
    }
    row.answeredAtMs = now;
    row.unansweredMs = [];
  }

  /** Whether answers came shortly before and after a time. */
  isAliveAround(id: string, atMs: number): boolean {
    const row = this.rows.get(id);
    return (
      row !== undefined && row.aliveSinceMs < atMs && row.answeredAtMs > atMs
    );
  }

  /**
   * Records the end of an attempt; returns whether the upstream was away. One that
   * has answered another attempt meanwhile was not.
   *
   * @param usualWaitMs wait after which an answer is late. A cancelled attempt
   *     counts from then on.
   */
  recordUnanswered(
    id: string,
    outcome: UnansweredOutcome,
    waitedMs: number,
    usualWaitMs: number,
  ): boolean {
    if (outcome === 'unreachable') {
      return true;
    }
    const now = this.options.now();
    const isEarly = outcome === 'cancelled' && waitedMs < usualWaitMs;
    if (isEarly || !this.isSilent(id, waitedMs)) {
      return false;
    }
    const row = this.rows.get(id) ?? {
      answeredAtMs: -Infinity,
      aliveSinceMs: Infinity,
      unansweredMs: [],
    };
    const recent = [...row.unansweredMs, now].filter(
      atMs => now - atMs <= UNANSWERED_WINDOW_MS,
    );
    row.unansweredMs = recent.slice(-UNANSWERED_LIMIT);
    this.rows.set(id, row);
    return recent.length >= UNANSWERED_LIMIT;
  }

  /** Whether an upstream has answered nothing in the last `forMs`. */
  isSilent(id: string, forMs: number): boolean {
    const answeredAtMs = this.rows.get(id)?.answeredAtMs ?? -Infinity;
    return answeredAtMs < this.options.now() - forMs;
  }

  /** Drops what is kept of upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.rows.keys()) {
      if (!ids.has(id)) {
        this.rows.delete(id);
      }
    }
  }
}
