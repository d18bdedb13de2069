/**
 * Which upstreams one instance takes for cold, from where it knows, and how many
 * requests it has sent to each meanwhile.
 *
 * Load: all upstreams of a zone come back cold at once, under the load of the
 * whole fleet. Harm prevented: an upstream that takes few requests for now gets
 * those of a warm one, and crashes. What upstreams say of themselves comes late
 * or not at all while the store is slow or away. So an upstream that was away
 * counts as cold until it says otherwise, or has answered for as long as a cold
 * start lasts. Pure: the clock is an option.
 */
import * as slidingCount from './sliding-count.js';
import type * as upstreamAbsences from './upstream-absences.js';
import type * as upstreamBackoffs from './upstream-backoffs.js';

type UpstreamStart = upstreamBackoffs.UpstreamStart;

/** How an instance learned that an upstream is, or may be, cold. */
export type ColdSource =
  /** Its entry in the store says so. */
  | 'entry'
  /** Its answer to a health check says so. */
  | 'health_check'
  /** It was away, as requests of this instance show. */
  | 'absence'
  /** Another instance reported that it was away. */
  | 'reported_absence';

/** What an upstream said of its cold start. */
export interface ColdStatement {
  readonly source: 'entry' | 'health_check';
  /** How long it stays cold, in milliseconds; 0 if it is warm. */
  readonly coldForMs: number;
  /** Time since it said so, in milliseconds; undefined if not known. */
  readonly ageMs: number | undefined;
}

/** An upstream that counts as cold from now on. */
export interface ColdBegin {
  readonly upstream: string;
  readonly source: ColdSource;
  /** Undefined until it answers again. */
  readonly coldForMs: number | undefined;
  /** Age of the news, in milliseconds; undefined if not known. */
  readonly ageMs: number | undefined;
  /** Requests that this instance sent there in the last second. */
  readonly sentLastS: number;
}

/** An upstream that counted as cold and does no longer. */
export interface ColdEnd {
  readonly upstream: string;
  readonly source: ColdSource;
  /** Time for which it counted as cold, in milliseconds. */
  readonly coldMs: number;
  /** Requests that this instance sent there meanwhile. */
  readonly sent: number;
}

/** What is known of one upstream, for the log. */
export interface ColdDescription {
  readonly isCold: boolean;
  /** Undefined unless it is cold, as the following ones. */
  readonly coldSource?: ColdSource;
  readonly coldForMs?: number | undefined;
  /** Time since this instance learned of it, in milliseconds. */
  readonly coldKnownMs?: number;
}

/** Options of `ColdStarts`. */
export interface ColdStartsOptions {
  readonly now: () => number;
  /**
   * How long an upstream is cold after a start, in milliseconds; 0 if it takes
   * as much then as later.
   */
  readonly findColdStartMs: (id: string) => number;
  readonly onBegin: (begin: ColdBegin) => void;
  readonly onEnd: (end: ColdEnd) => void;
  /** The last absence of an upstream. */
  readonly findAbsence: (
    start: UpstreamStart,
  ) => upstreamAbsences.Absence | undefined;
  /** Called when an upstream says in an answer that it is cold or warm. */
  readonly onAnswered: (start: UpstreamStart) => void;
  /** Called when an upstream says that it has become cold. */
  readonly onReturn: (id: string) => void;
}

interface Row {
  startedAtMs: number;
  toldUntilMs: number;
  /** When it began to count as cold; undefined while it does not. */
  beganAtMs: number | undefined;
  beganSource: ColdSource;
  /** Requests sent there since then. */
  sent: number;
}

/** Window of the requests that are reported with `ColdBegin`, in ms. */
const RECENT_MS = 1_000;

/** The upstreams that one instance takes for cold. */
export class ColdStarts {
  private readonly rows = new Map<string, Row>();
  private readonly sends = new Map<string, slidingCount.SlidingCount>();

  constructor(private readonly options: ColdStartsOptions) {}

  /** Number of upstreams that count as cold now. */
  get coldCount(): number {
    const now = this.options.now();
    return [...this.rows].filter(([id, row]) => now < this.findEndMs(id, row))
      .length;
  }

  /**
   * Records what an upstream said. A cold start does not end early because of a
   * later statement. An entry of the same start does not show that the upstream
   * is warm after an absence: it may have been written before that.
   */
  record(start: UpstreamStart, statement: ColdStatement): void {
    const {source, coldForMs, ageMs} = statement;
    const now = this.options.now();
    // Most statements are of upstreams that are warm all along.
    const isNoted = coldForMs > 0 || this.rows.has(start.id);
    const row = isNoted ? this.rowOf(start) : undefined;
    if (!row) {
      return;
    }
    const isNews = coldForMs > 0 && now >= row.toldUntilMs;
    row.toldUntilMs = Math.max(row.toldUntilMs, now + coldForMs);
    if (source === 'health_check') {
      this.options.onAnswered(start);
    }
    if (isNews) {
      this.options.onReturn(start.id);
    }
    this.update(start.id, row, {source, coldForMs, ageMs});
  }

  /** Takes a change of what is known of an upstream's absence into account. */
  updateAbsence(start: UpstreamStart): void {
    const absence = this.options.findAbsence(start);
    const row = absence ? this.rowOf(start) : this.rows.get(start.id);
    if (row?.startedAtMs !== start.startedAtMs) {
      return;
    }
    this.update(start.id, row, {
      source: absence?.origin === 'reported' ? 'reported_absence' : 'absence',
      coldForMs: undefined,
      ageMs: absence && this.options.now() - absence.foundAtMs,
    });
  }

  /** When an upstream stops to count as cold; -Infinity if it does not. */
  findUntilMs({id, startedAtMs}: UpstreamStart): number {
    const row = this.rows.get(id);
    return row?.startedAtMs === startedAtMs
      ? this.findEndMs(id, row)
      : -Infinity;
  }

  /** Records a request that is sent to an upstream. */
  recordSend(start: UpstreamStart): void {
    const {id} = start;
    const now = this.options.now();
    const sends =
      this.sends.get(id) ?? new slidingCount.SlidingCount(RECENT_MS);
    this.sends.set(id, sends);
    sends.count(now);
    sends.add(now);
    const row = this.rows.get(id);
    if (row && now < this.findUntilMs(start)) {
      row.sent++;
    }
  }

  /** What is known of an upstream now. */
  describe(start: UpstreamStart): ColdDescription {
    const now = this.options.now();
    const untilMs = this.findUntilMs(start);
    const row = this.rows.get(start.id);
    return row && now < untilMs
      ? {
          isCold: true,
          coldSource: row.beganSource,
          coldForMs: Number.isFinite(untilMs)
            ? Math.round(untilMs - now)
            : undefined,
          coldKnownMs: Math.round(now - (row.beganAtMs ?? now)),
        }
      : {isCold: false};
  }

  /** Reports the cold starts that are over, and drops what has expired. */
  expire(): void {
    const now = this.options.now();
    for (const [id, row] of this.rows) {
      if (now >= this.findEndMs(id, row)) {
        this.end(id, row);
        this.rows.delete(id);
      }
    }
  }

  /**
   * Drops what is kept of upstreams that are not in `ids` and not cold. A cold
   * one is kept: its entry may lapse and return.
   */
  retain(ids: ReadonlySet<string>): void {
    const now = this.options.now();
    for (const [id, row] of this.rows) {
      if (!ids.has(id) && now >= this.findEndMs(id, row)) {
        this.rows.delete(id);
      }
    }
    for (const id of this.sends.keys()) {
      if (!ids.has(id)) {
        this.sends.delete(id);
      }
    }
  }

  /** The row of a start; undefined if a later start of it is known. */
  private rowOf({id, startedAtMs}: UpstreamStart): Row | undefined {
    const known = this.rows.get(id);
    if (known?.startedAtMs === startedAtMs) {
      return known;
    }
    if (known && known.startedAtMs > startedAtMs) {
      return undefined;
    }
    if (known) {
      this.end(id, known);
    }
    const row: Row = {
      startedAtMs,
      toldUntilMs: -Infinity,
      beganAtMs: undefined,
      beganSource: 'entry',
      sent: 0,
    };
    this.rows.set(id, row);
    return row;
  }

  private findEndMs(id: string, {startedAtMs, toldUntilMs}: Row): number {
    const absence = this.options.findAbsence({id, startedAtMs});
    if (!absence) {
      return toldUntilMs;
    }
    const {answeredAtMs = Infinity} = absence;
    return Math.max(
      toldUntilMs,
      answeredAtMs + this.options.findColdStartMs(id),
    );
  }

  /** Reports an upstream that begins to count as cold. */
  private update(
    id: string,
    row: Row,
    news: Pick<ColdBegin, 'source' | 'coldForMs' | 'ageMs'>,
  ): void {
    const now = this.options.now();
    if (now >= this.findEndMs(id, row)) {
      this.end(id, row);
      return;
    }
    if (row.beganAtMs !== undefined) {
      return;
    }
    row.beganAtMs = now;
    row.beganSource = news.source;
    const sentLastS = this.sends.get(id)?.count(now) ?? 0;
    this.options.onBegin({upstream: id, ...news, sentLastS});
  }

  private end(id: string, row: Row): void {
    const {beganAtMs, beganSource, sent} = row;
    const endMs = Math.min(this.options.now(), this.findEndMs(id, row));
    if (beganAtMs === undefined) {
      return;
    }
    row.beganAtMs = undefined;
    row.sent = 0;
    const coldMs = endMs - beganAtMs;
    this.options.onEnd({upstream: id, source: beganSource, coldMs, sent});
  }
}
