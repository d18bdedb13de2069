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

/** What shows that an upstream was there at a time. */
export type SignOfLife =
  /** Answers shortly before and after it. */
  | 'answers'
  /** A connection from before that served a request which was sent later. */
  | 'kept_connection';

/** How an answer came. */
export interface AnswerArrival {
  /** Time since its attempt began, in milliseconds; not too short. */
  readonly waitedMs: number;
  /** Identifies the connection over which it came. */
  readonly connection: object;
}

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

/**
 * Longest time between two answers after which a connection from before still
 * shows that the upstream was there meanwhile, in milliseconds. One that was
 * silent for longer may be cold, whatever became of its connections.
 */
const MAX_KEPT_GAP_MS = 1_500;

/**
 * Time that a connection is known for before an absence at least, in
 * milliseconds: the age of a reported absence leaves out its transmission.
 */
const MIN_KEPT_MS = 1_000;

/** A connection that still served a later request. */
interface KeptConnection {
  /** Since when it has brought answers. */
  readonly sinceMs: number;
  /** When the attempt began that it answered last. */
  readonly sentAtMs: number;
}

interface Row {
  /** Last part of an answer. */
  answeredAtMs: number;
  /** Since when such parts came without a gap above `MAX_GAP_MS`. */
  aliveSinceMs: number;
  /** Since when such parts came without a gap above `MAX_KEPT_GAP_MS`. */
  usedSinceMs: number;
  /** The connection of the last answer; undefined if it was new. */
  kept: KeptConnection | undefined;
  /** Ends of attempts without an answer since then, the latest ones. */
  unansweredMs: readonly number[];
}

/** The signs that one instance sees itself, by id of the upstream. */
export class AbsenceSigns {
  private readonly rows = new Map<string, Row>();
  /** When each connection brought its first answer. */
  private readonly firstAnswers = new WeakMap<object, number>();

  constructor(private readonly options: AbsenceSignsOptions) {}

  /**
   * Records a part of an answer of an upstream, or a refusal.
   *
   * @param arrival undefined for the later parts of an answer.
   */
  recordAnswer(id: string, arrival?: AnswerArrival): void {
    const now = this.options.now();
    const row = this.rows.get(id) ?? createRow();
    this.rows.set(id, row);
    const gapMs = now - row.answeredAtMs;
    if (gapMs > MAX_GAP_MS) {
      row.aliveSinceMs = now;
    }
    if (gapMs > MAX_KEPT_GAP_MS) {
      row.usedSinceMs = now;
    }
    if (arrival) {
      row.kept = this.findKept(arrival, row.usedSinceMs);
    }
    row.answeredAtMs = now;
    row.unansweredMs = [];
  }

  /**
   * What shows that an upstream was there at a time; undefined if nothing does.
   * Instances that send only a few requests there mostly know it by a kept
   * connection.
   */
  findSignOfLife(id: string, atMs: number): SignOfLife | undefined {
    const row = this.rows.get(id);
    if (!row) {
      return undefined;
    }
    const {aliveSinceMs, answeredAtMs, kept} = row;
    if (aliveSinceMs < atMs && answeredAtMs > atMs) {
      return 'answers';
    }
    const isKept =
      kept !== undefined &&
      kept.sinceMs < atMs - MIN_KEPT_MS &&
      kept.sentAtMs > atMs;
    return isKept ? 'kept_connection' : undefined;
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
    const row = this.rows.get(id) ?? createRow();
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

  private findKept(
    {connection, waitedMs}: AnswerArrival,
    usedSinceMs: number,
  ): KeptConnection | undefined {
    const now = this.options.now();
    const firstAtMs = this.firstAnswers.get(connection);
    if (firstAtMs === undefined) {
      this.firstAnswers.set(connection, now);
      return undefined;
    }
    return {
      sinceMs: Math.max(firstAtMs, usedSinceMs),
      sentAtMs: now - waitedMs,
    };
  }
}

const createRow = (): Row => ({
  answeredAtMs: -Infinity,
  aliveSinceMs: Infinity,
  usedSinceMs: Infinity,
  kept: undefined,
  unansweredMs: [],
});
