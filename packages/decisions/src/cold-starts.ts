/**
 * What one instance knows of the cold starts of upstreams, from where, and how
 * many requests it has sent to each meanwhile.
 *
 * Load: all upstreams of a zone come back cold at once, under the load of the
 * whole fleet. Harm prevented: an upstream that takes few requests for now gets
 * those of a warm one, and crashes. Pure: the clock is an option.
 */
import * as slidingCount from './sliding-count.js';
import type * as upstreamBackoffs from './upstream-backoffs.js';

type UpstreamStart = upstreamBackoffs.UpstreamStart;

/** How an instance learned that an upstream is cold. */
export type ColdSource =
  /** Its entry in the store says so. */
  'entry';

/** What an upstream said of its cold start. */
export interface ColdStatement {
  readonly source: ColdSource;
  /** How long it stays cold, in milliseconds; 0 if it is warm. */
  readonly coldForMs: number;
  /** Time since it said so, in milliseconds; undefined if not known. */
  readonly ageMs: number | undefined;
}

/** An upstream that counts as cold from now on. */
export interface ColdBegin extends ColdStatement {
  readonly upstream: string;
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
  readonly coldForMs?: number;
  /** Time since this instance learned of it, in milliseconds. */
  readonly coldKnownMs?: number;
}

/** Options of `ColdStarts`. */
export interface ColdStartsOptions {
  readonly now: () => number;
  readonly onBegin: (begin: ColdBegin) => void;
  readonly onEnd: (end: ColdEnd) => void;
}

interface Row {
  startedAtMs: number;
  untilMs: number;
  source: ColdSource;
  /** When it began to count as cold; undefined while it does not. */
  beganAtMs: number | undefined;
  /** Requests sent there since then. */
  sent: number;
}

/** Window of the requests that are reported with `ColdBegin`, in ms. */
const RECENT_MS = 1_000;

/** The cold starts that one instance knows of. */
export class ColdStarts {
  private readonly rows = new Map<string, Row>();
  private readonly sends = new Map<string, slidingCount.SlidingCount>();

  constructor(private readonly options: ColdStartsOptions) {}

  /** Number of upstreams that count as cold now. */
  get coldCount(): number {
    const now = this.options.now();
    return [...this.rows.values()].filter(({untilMs}) => now < untilMs).length;
  }

  /** Records what an upstream said. A later end of the same start stays. */
  record({id, startedAtMs}: UpstreamStart, statement: ColdStatement): void {
    const now = this.options.now();
    const untilMs = now + statement.coldForMs;
    const known = this.rows.get(id);
    const isSame = known?.startedAtMs === startedAtMs;
    if (isSame && known.untilMs >= untilMs) {
      return;
    }
    if (known && now >= known.untilMs) {
      this.end(id, known);
    }
    const beganAtMs = known?.beganAtMs;
    this.rows.set(id, {
      startedAtMs,
      untilMs,
      source: statement.source,
      beganAtMs: untilMs > now ? (beganAtMs ?? now) : undefined,
      sent: known?.sent ?? 0,
    });
    if (untilMs > now && beganAtMs === undefined) {
      const sentLastS = this.sends.get(id)?.count(now) ?? 0;
      this.options.onBegin({upstream: id, ...statement, sentLastS});
    }
  }

  /** When an upstream stops to count as cold; -Infinity if it is not known. */
  findUntilMs({id, startedAtMs}: UpstreamStart): number {
    const row = this.rows.get(id);
    return row?.startedAtMs === startedAtMs ? row.untilMs : -Infinity;
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
          coldSource: row.source,
          coldForMs: Math.round(untilMs - now),
          coldKnownMs: Math.round(now - (row.beganAtMs ?? now)),
        }
      : {isCold: false};
  }

  /** Reports the cold starts that are over. */
  expire(): void {
    const now = this.options.now();
    for (const [id, row] of this.rows) {
      if (now >= row.untilMs) {
        this.end(id, row);
      }
    }
  }

  /** Drops what is kept of upstreams that are not in `ids`. */
  retain(ids: ReadonlySet<string>): void {
    for (const byId of [this.rows, this.sends]) {
      for (const id of byId.keys()) {
        if (!ids.has(id)) {
          byId.delete(id);
        }
      }
    }
  }

  private end(id: string, row: Row): void {
    const {beganAtMs, source, sent} = row;
    if (beganAtMs === undefined) {
      return;
    }
    row.beganAtMs = undefined;
    row.sent = 0;
    const coldMs = row.untilMs - beganAtMs;
    this.options.onEnd({upstream: id, source, coldMs, sent});
  }
}
