/**
 * Upstreams that were away, as requests of any instance show: one that was may
 * have restarted since, whatever its entry in the store says.
 *
 * Load: an upstream that is lost under requests of many instances, each of which
 * sends only a few there. Harm prevented: each instance has to find out by
 * itself that it is gone, and that it is back; and an instance that can't reach
 * an upstream makes all others believe that it is gone. Pure: the clock is an
 * option.
 */
import type * as absenceSigns from './absence-signs.js';
import type * as newsOrigin from './news-origin.js';
import type * as upstreamBackoffs from './upstream-backoffs.js';

type UpstreamStart = upstreamBackoffs.UpstreamStart;

/** An upstream that was away, as instances report it to each other. */
export interface ReportedAbsence {
  readonly id: string;
  /** Wall time of the start that was away, in milliseconds. */
  readonly startedAtMs: number;
  /** Time since it was last found away, in milliseconds. */
  readonly awayAgeMs: number;
  /** Time since an instance first saw it answer again, in milliseconds. */
  readonly answeredAgeMs?: number | undefined;
  /** Whether an instance had answers all the while, so that it was not away. */
  readonly isRefuted?: boolean | undefined;
}

/** An upstream that was away, and may have restarted since. */
export interface Absence {
  /** When it was last found away. */
  readonly foundAtMs: number;
  /** First known answer after that; undefined if there is none. */
  readonly answeredAtMs: number | undefined;
  readonly origin: newsOrigin.NewsOrigin;
}

/** An absence that was none. */
export interface RefutedAbsence {
  readonly upstream: string;
  /** Time since it was found, in milliseconds. */
  readonly ageMs: number;
  /** What shows it; another instance may know it. */
  readonly by: absenceSigns.SignOfLife | 'reported';
}

/** Options of `UpstreamAbsences`. */
export interface UpstreamAbsencesOptions {
  readonly now: () => number;
  /**
   * How long an upstream is cold after a start, in milliseconds; 0 if it takes
   * as much then as later, and its absences don't matter.
   */
  readonly findColdStartMs: (id: string) => number;
  /** Other upstreams of its service that this instance knows. */
  readonly findSiblings: (id: string) => readonly string[];
  /** What shows this instance that an upstream was there at a time. */
  readonly findSignOfLife: (
    id: string,
    atMs: number,
  ) => absenceSigns.SignOfLife | undefined;
  /** Called when an absence begins, is answered or turns out to be none. */
  readonly onChange: (start: UpstreamStart) => void;
  /** Called when an absence is first found to be none. */
  readonly onRefute: (refuted: RefutedAbsence) => void;
  /** Called when an upstream that was away answers again. */
  readonly onReturn: (id: string) => void;
  /** Called when other instances should learn of it at once. */
  readonly onNews: (origin: newsOrigin.NewsOrigin) => void;
}

interface Row {
  startedAtMs: number;
  absence: Absence | undefined;
  /** Latest time at which it was found away although it was not. */
  refutedAtMs: number;
  /** The same when it was last announced. */
  announcedRefutedAtMs: number;
  /** Until then, what this instance finds is kept from others. */
  heldUntilMs: number;
  /** When it was last news; -Infinity while it is kept from others. */
  announcedAtMs: number;
}

/**
 * Time after which an absence without an answer is forgotten, in milliseconds:
 * by then the entry of the upstream has lapsed.
 */
const ABSENCE_TTL_MS = 60_000;

/**
 * Time for which it is reported that there was none, in ms: a few rounds of
 * messages.
 */
const ANNOUNCE_MS = 2_000;

/** Minimum time between two announcements that it is still away, in ms. */
const REANNOUNCE_MS = 500;

/**
 * Time after a refuted absence in which the instance that found it keeps further
 * ones of the same upstream for itself, in ms: it may be cut off from there.
 */
const REFUTED_HOLD_MS = 5_000;

/**
 * Time by which a report must differ from what is known to be news, in ms: the
 * age in a report does not include its transmission.
 */
const SAME_TIME_MS = 200;

/**
 * Time by which a refuted absence must be later than the last one that was
 * announced to be announced as well, in ms. Each report dates it later by the
 * time for which it lay unread; a shorter time would keep instances that are
 * late announcing the same one to each other. Less than `ANNOUNCE_MS`, in which
 * an earlier one is carried on.
 */
const REFUTED_NEWS_MS = 1_000;

/** Absences in one report at most. */
const MAX_REPORTED = 128;

/** The absences that one instance knows of. */
export class UpstreamAbsences {
  private readonly rows = new Map<string, Row>();
  /** Upstreams whose absence is kept from others, see `recordOwn`. */
  private readonly unconfirmed = new Set<string>();

  constructor(private readonly options: UpstreamAbsencesOptions) {}

  /** The absence of a start; undefined if none is known. */
  find({id, startedAtMs}: UpstreamStart): Absence | undefined {
    const row = this.rows.get(id);
    return row?.startedAtMs === startedAtMs ? row.absence : undefined;
  }

  /**
   * Records that requests of this instance found an upstream away.
   *
   * Others are told once another upstream of the service has answered. Guards
   * against an instance that is cut off itself, and would make all others hold
   * back from all upstreams.
   */
  recordOwn(start: UpstreamStart): void {
    const {now, onChange, findSiblings} = this.options;
    const row = this.followedRowOf(start);
    if (!row) {
      return;
    }
    const isStillAway = isUnanswered(row.absence);
    row.absence = {foundAtMs: now(), answeredAtMs: undefined, origin: 'own'};
    if (!isStillAway) {
      row.announcedAtMs = -Infinity;
    }
    onChange(start);
    const isRecent = now() - row.announcedAtMs < REANNOUNCE_MS;
    if (isRecent || now() < row.heldUntilMs) {
      return;
    }
    if (findSiblings(start.id).length === 0) {
      this.announce(row, 'own');
    } else {
      this.unconfirmed.add(start.id);
    }
  }

  /** Records that an upstream has begun to answer this instance. */
  recordAnswer(start: UpstreamStart): void {
    this.confirmSiblings(start.id);
    const row = this.rows.get(start.id);
    if (row?.startedAtMs !== start.startedAtMs || !isUnanswered(row.absence)) {
      return;
    }
    row.absence = {...row.absence, answeredAtMs: this.options.now()};
    this.reportReturn(start, row, 'own');
  }

  /** Records a part of an answer: the upstream is there. */
  recordAlive(start: UpstreamStart): void {
    const row = this.rows.get(start.id);
    if (row?.absence && row.startedAtMs === start.startedAtMs) {
      this.refuteIfAlive(start, row, row.absence.foundAtMs);
    }
  }

  /** Ends an absence, as the upstream itself has said whether it is cold. */
  clear({id}: UpstreamStart): void {
    const row = this.rows.get(id);
    if (row) {
      row.absence = undefined;
    }
  }

  /**
   * Absences to report to other instances now, for as long as the upstream may be
   * cold: one that was paused, or has just started, would miss a message sent once.
   */
  report(): readonly ReportedAbsence[] {
    const now = this.options.now();
    const reported: ReportedAbsence[] = [];
    for (const [id, row] of this.rows) {
      if (this.isReported(id, row, now)) {
        reported.push(describeRow(id, row, now));
      }
    }
    return reported.slice(0, MAX_REPORTED);
  }

  /** Merges the absences that another instance reports. */
  merge(reports: readonly ReportedAbsence[]): void {
    const now = this.options.now();
    for (const {awayAgeMs, answeredAgeMs, isRefuted, ...start} of reports) {
      const row = this.followedRowOf(start);
      const foundAtMs = now - awayAgeMs;
      if (row && isRefuted === true) {
        this.refute(start, row, foundAtMs, 'reported');
      } else if (row && !this.refuteIfAlive(start, row, foundAtMs)) {
        const answeredAtMs =
          answeredAgeMs === undefined ? undefined : now - answeredAgeMs;
        const origin = 'reported' as const;
        this.mergeOne(start, row, {foundAtMs, answeredAtMs, origin});
      }
    }
  }

  /** Drops what has expired, and upstreams about which nothing is known. */
  expire(): void {
    const now = this.options.now();
    for (const [id, row] of this.rows) {
      const {absence, announcedAtMs} = row;
      const isNews = now - announcedAtMs <= ANNOUNCE_MS;
      const isKept = absence && now - absence.foundAtMs <= ABSENCE_TTL_MS;
      if (!isNews && !isKept) {
        this.rows.delete(id);
        this.unconfirmed.delete(id);
      }
    }
  }

  private isReported(
    id: string,
    {absence, announcedRefutedAtMs, announcedAtMs}: Row,
    now: number,
  ): boolean {
    if (!absence) {
      const isRecent = now - announcedAtMs <= ANNOUNCE_MS;
      return Number.isFinite(announcedRefutedAtMs) && isRecent;
    }
    const {answeredAtMs = now} = absence;
    const mayBeCold = now - answeredAtMs < this.options.findColdStartMs(id);
    return Number.isFinite(announcedAtMs) && mayBeCold;
  }

  private mergeOne(start: UpstreamStart, row: Row, found: Absence): void {
    const known = row.absence;
    const knownAtMs = known?.answeredAtMs ?? known?.foundAtMs ?? -Infinity;
    const {foundAtMs, answeredAtMs} = found;
    if (foundAtMs <= row.refutedAtMs + SAME_TIME_MS) {
      return;
    }
    if (foundAtMs > knownAtMs + SAME_TIME_MS) {
      const isStillAway = isUnanswered(known) && isUnanswered(found);
      const {now} = this.options;
      row.absence = found;
      this.options.onChange(start);
      if (!isStillAway || now() - row.announcedAtMs >= REANNOUNCE_MS) {
        this.announce(row, 'reported');
      }
      if (answeredAtMs !== undefined) {
        this.options.onReturn(start.id);
      }
      return;
    }
    const isAnswer = (answeredAtMs ?? -Infinity) > knownAtMs;
    if (known && isUnanswered(known) && isAnswer) {
      row.absence = {...known, answeredAtMs};
      this.reportReturn(start, row, 'reported');
    }
  }

  private confirmSiblings(id: string): void {
    if (this.unconfirmed.size === 0) {
      return;
    }
    for (const sibling of this.options.findSiblings(id)) {
      const row = this.rows.get(sibling);
      if (this.unconfirmed.delete(sibling) && row?.absence) {
        this.announce(row, 'own');
      }
    }
  }

  private reportReturn(
    start: UpstreamStart,
    row: Row,
    origin: newsOrigin.NewsOrigin,
  ): void {
    this.unconfirmed.delete(start.id);
    this.options.onChange(start);
    this.options.onReturn(start.id);
    this.announce(row, origin);
  }

  /** Returns whether this instance shows that the upstream was not away. */
  private refuteIfAlive(
    start: UpstreamStart,
    row: Row,
    foundAtMs: number,
  ): boolean {
    const sign = this.options.findSignOfLife(start.id, foundAtMs);
    if (sign) {
      this.refute(start, row, foundAtMs, sign);
    }
    return sign !== undefined;
  }

  /**
   * Regular reports carry this on: all that use the upstream find the same at
   * the same time, and would flood each other with messages.
   */
  private refute(
    start: UpstreamStart,
    row: Row,
    foundAtMs: number,
    by: RefutedAbsence['by'],
  ): void {
    const now = this.options.now();
    const isNews = foundAtMs > row.announcedRefutedAtMs + REFUTED_NEWS_MS;
    row.refutedAtMs = Math.max(row.refutedAtMs, foundAtMs);
    if (isNews) {
      row.announcedAtMs = now;
      row.announcedRefutedAtMs = foundAtMs;
      this.options.onRefute({upstream: start.id, ageMs: now - foundAtMs, by});
    }
    const {absence} = row;
    if (absence && absence.foundAtMs <= row.refutedAtMs + SAME_TIME_MS) {
      if (absence.origin === 'own') {
        row.heldUntilMs = now + REFUTED_HOLD_MS;
      }
      row.absence = undefined;
      this.unconfirmed.delete(start.id);
      this.options.onChange(start);
    }
  }

  private announce(row: Row, origin: newsOrigin.NewsOrigin): void {
    row.announcedAtMs = this.options.now();
    this.options.onNews(origin);
  }

  /** The row of a start whose absences matter. */
  private followedRowOf(start: UpstreamStart): Row | undefined {
    const coldStartMs = this.options.findColdStartMs(start.id);
    return coldStartMs > 0 ? this.rowOf(start) : undefined;
  }

  /** The row of a start; undefined if a later start of it is known. */
  private rowOf({id, startedAtMs}: UpstreamStart): Row | undefined {
    const known = this.rows.get(id);
    if (known && known.startedAtMs >= startedAtMs) {
      return known.startedAtMs === startedAtMs ? known : undefined;
    }
    const row: Row = {
      startedAtMs,
      absence: undefined,
      refutedAtMs: -Infinity,
      announcedRefutedAtMs: -Infinity,
      heldUntilMs: -Infinity,
      announcedAtMs: -Infinity,
    };
    this.rows.set(id, row);
    this.unconfirmed.delete(id);
    return row;
  }
}

const isUnanswered = (absence: Absence | undefined): absence is Absence =>
  absence !== undefined && absence.answeredAtMs === undefined;

const describeRow = (
  id: string,
  {startedAtMs, absence, announcedRefutedAtMs}: Row,
  now: number,
): ReportedAbsence => {
  if (!absence) {
    const awayAgeMs = Math.max(0, now - announcedRefutedAtMs);
    return {id, startedAtMs, awayAgeMs, isRefuted: true};
  }
  const {foundAtMs, answeredAtMs} = absence;
  return {
    id,
    startedAtMs,
    awayAgeMs: Math.max(0, now - foundAtMs),
    ...(answeredAtMs === undefined
      ? {}
      : {answeredAgeMs: Math.max(0, now - answeredAtMs)}),
  };
};
