/**
 * Finds parts of prompts that make upstreams end, and keeps requests with them
 * away from upstreams.
 *
 * Load: requests of any caller, at any instance, that share one part; each
 * upstream that begins to answer one of them ends, with all that it runs. Harm
 * prevented: a retry carries the cause to the next upstream, and the failure is
 * counted against the upstream, until none is left for the sound requests.
 *
 * A part is suspected if requests with it had not begun to be answered where an
 * upstream ended, and held after the second such occasion without an answer in
 * between. Ends that a held part explains are not held against other parts. A
 * request that is sent on trial decides whether the hold goes on. Instances
 * share the evidence, so that all come to the same beliefs. Pure: the clock is
 * an option.
 */
import * as rendezvous from './rendezvous.js';
import * as suspectPart from './suspect-part.js';
import * as trialSchedule from './trial-schedule.js';

/** What is believed of a part. */
export type PartBelief = 'clear' | 'suspected' | 'held';

/** What may be done with a request. */
export type PartVerdict =
  | 'free'
  /** It may be sent once, to find out whether its part still harms. */
  | 'trial'
  | 'held';

/** A part of a request that was not answered where an upstream ended. */
export interface UnansweredPart {
  readonly part: string;
  readonly workspace: string;
  /** When the request was sent there. */
  readonly sentAtMs: number;
}

/** Evidence about a part as instances report it to each other. */
export interface ReportedPart {
  readonly part: string;
  readonly workspace: string;
  readonly ends: readonly ReportedPartEnd[];
  /** Time since an answer to a request with it began, in milliseconds. */
  readonly provenAgeMs?: number | undefined;
  /** Time since it was held, in milliseconds. */
  readonly heldAgeMs?: number | undefined;
  /** Time since a request with it was last sent on trial, in milliseconds. */
  readonly trialAgeMs?: number | undefined;
}

/** One end in a report. */
export interface ReportedPartEnd {
  readonly upstream: string;
  readonly ageMs: number;
  readonly sentAgeMs: number;
}

/** A part that is held, for operators. */
export interface HeldPart {
  readonly part: string;
  readonly workspace: string;
  readonly heldForMs: number;
  /** Upstreams that ended under it, with their starts. */
  readonly upstreams: readonly string[];
}

/** A change of what is believed of a part, for the log. */
export interface PartChange {
  readonly part: string;
  readonly workspace: string;
  readonly before: PartBelief;
  readonly after: PartBelief;
  /** Upstreams that ended under it since the last answer that began. */
  readonly upstreams: readonly string[];
}

/** Whether evidence is of this instance or was reported by another one. */
export type EvidenceSource = 'own' | 'reported';

/** Options of `PartQuarantine`. */
export interface PartQuarantineOptions {
  readonly now: () => number;
  /** Id of this instance. */
  readonly self: string;
  /** Ids of all instances that take callers. */
  readonly findInstances: () => readonly string[];
  readonly onChange: (change: PartChange) => void;
  /** Called when other instances should learn of new evidence at once. */
  readonly onEvidence: (source: EvidenceSource) => void;
}

/** Occasions on which upstreams must have ended for a part to be held. */
const HOLD_OCCASIONS = 2;

/** Parts about which evidence is kept, over all workspaces. */
const MAX_PARTS = 1_024;

/** Parts whose last answer is remembered. */
const MAX_PROVEN_PARTS = 4_096;

/**
 * Time for which new evidence is reported, in milliseconds: a few rounds of
 * messages. What is held is reported as long as it is, for instances that start.
 */
const ANNOUNCE_MS = 3_000;

/**
 * Times that differ by less are the same, in milliseconds: ages in reports do
 * not include their transmission, so a time would become later at each round.
 */
const SAME_TIME_MS = 500;

/** Parts in one report at most. */
const MAX_REPORTED = 64;

interface Row {
  readonly suspect: suspectPart.SuspectPart;
  belief: PartBelief;
  /** When this instance learned of the newest evidence. */
  announcedAtMs: number;
  heldAtMs: number | undefined;
  /** When a request was last sent on trial, by any instance. */
  trialAtMs: number;
  /** When the outcome of the last own trial was known. */
  ownTrialSettledMs: number;
}

/** A request of this instance that was sent on trial. */
interface OwnTrial {
  readonly parts: readonly string[];
  endedAtMs: number | undefined;
}

/** The parts about which one instance has evidence. */
export class PartQuarantine {
  private readonly rows = new Map<string, Row>();
  /** When an answer last began, by part; the oldest first. */
  private readonly provenAtMs = new Map<string, number>();
  /** By id of the request. */
  private readonly ownTrials = new Map<string, OwnTrial>();

  constructor(private readonly options: PartQuarantineOptions) {}

  /** Ids of the parts that are held now. */
  get heldParts(): readonly string[] {
    return this.describeHeld().map(({part}) => part);
  }

  /** The parts that are held now. */
  describeHeld(): readonly HeldPart[] {
    const now = this.options.now();
    return [...this.rows.values()]
      .filter(({belief}) => belief === 'held')
      .map(({suspect, heldAtMs = now}) => ({
        part: suspect.id,
        workspace: suspect.workspace,
        heldForMs: now - heldAtMs,
        upstreams: suspect.findEnds(now).map(({upstream}) => upstream),
      }));
  }

  /**
   * Records that an upstream ended.
   *
   * @param upstream names the upstream and its start.
   * @param parts parts of the requests that it had not begun to answer.
   */
  recordEnd(
    upstream: string,
    atMs: number,
    parts: readonly UnansweredPart[],
  ): void {
    let isNew = false;
    const latestFirst = [...parts].sort((a, b) => b.sentAtMs - a.sentAtMs);
    for (const {part, workspace, sentAtMs} of latestFirst) {
      const row = this.findOrCreate(part, workspace);
      isNew = this.addEnd(row, {upstream, atMs, sentAtMs}) || isNew;
    }
    if (isNew) {
      this.updateBeliefs();
      this.options.onEvidence('own');
    }
  }

  /** Records that an answer to a request with these parts began. */
  recordAnswer(parts: readonly string[]): void {
    const now = this.options.now();
    let isChanged = false;
    for (const part of parts) {
      this.rememberAnswer(part, now);
      const row = this.rows.get(part);
      if (row?.suspect.prove(now)) {
        row.announcedAtMs = now;
        isChanged = true;
      }
    }
    if (isChanged) {
      this.updateBeliefs();
      this.options.onEvidence('own');
    }
  }

  /** Lifts the hold of a part, as if an answer had begun; false if not held. */
  lift(part: string): boolean {
    const isHeld = this.rows.get(part)?.belief === 'held';
    if (isHeld) {
      this.recordAnswer([part]);
    }
    return isHeld;
  }

  /** Decides about a request with these parts. */
  judge(parts: readonly string[], request: string): PartVerdict {
    const held = this.findHeld(parts);
    if (held.length === 0) {
      return 'free';
    }
    const isTrialDue =
      !this.ownTrials.has(request) && held.every(row => this.isTrialDue(row));
    return isTrialDue ? 'trial' : 'held';
  }

  /** The parts of a request that are held now. */
  findHeldParts(parts: readonly string[]): readonly string[] {
    return this.findHeld(parts).map(({suspect}) => suspect.id);
  }

  /** Records that a request with these parts is sent on trial. */
  beginTrial(parts: readonly string[], request: string): void {
    const now = this.options.now();
    const held = this.findHeld(parts);
    for (const row of held) {
      row.trialAtMs = now;
    }
    const ids = held.map(({suspect}) => suspect.id);
    this.ownTrials.set(request, {parts: ids, endedAtMs: undefined});
    this.options.onEvidence('own');
  }

  /** Records that the attempt of a trial has ended, in whatever way. */
  endTrial(request: string): void {
    const trial = this.ownTrials.get(request);
    if (trial) {
      trial.endedAtMs = this.options.now();
    }
  }

  /** Merges the evidence that another instance reports. */
  merge(reports: readonly ReportedPart[]): void {
    const now = this.options.now();
    const sources = reports.flatMap(report => this.mergeOne(report, now) ?? []);
    if (sources.length > 0) {
      this.updateBeliefs();
      this.options.onEvidence(sources.includes('own') ? 'own' : 'reported');
    }
  }

  /** Evidence to report to other instances now. */
  report(): readonly ReportedPart[] {
    const now = this.options.now();
    const toAge = (atMs: number): number => Math.max(0, now - atMs);
    const toOptionalAge = (atMs: number | undefined) =>
      atMs === undefined || atMs === -Infinity ? undefined : toAge(atMs);
    return this.findReported().map(({suspect, heldAtMs, trialAtMs}) => ({
      part: suspect.id,
      workspace: suspect.workspace,
      ends: suspect.findEnds(now).map(({upstream, atMs, sentAtMs}) => ({
        upstream,
        ageMs: toAge(atMs),
        sentAgeMs: toAge(sentAtMs),
      })),
      provenAgeMs: toOptionalAge(suspect.provenAtMs),
      heldAgeMs: toOptionalAge(heldAtMs),
      trialAgeMs: toOptionalAge(trialAtMs),
    }));
  }

  /** Drops what has expired. */
  expire(): void {
    const now = this.options.now();
    this.settleOwnTrials(now);
    if (this.rows.size === 0) {
      return;
    }
    this.updateBeliefs();
    for (const [id, row] of this.rows) {
      if (row.belief === 'clear' && now - row.announcedAtMs > ANNOUNCE_MS) {
        this.rows.delete(id);
      }
    }
  }

  /** A trial without an outcome, such as a refusal, may be tried again. */
  private settleOwnTrials(now: number): void {
    for (const [id, {parts, endedAtMs}] of this.ownTrials) {
      if (!trialSchedule.isTrialOver(endedAtMs, now)) {
        continue;
      }
      this.ownTrials.delete(id);
      for (const part of parts) {
        const row = this.rows.get(part);
        if (row) {
          row.ownTrialSettledMs = now;
        }
      }
    }
  }

  /** Returns what is new in a report: undefined if nothing is. */
  private mergeOne(
    report: ReportedPart,
    now: number,
  ): EvidenceSource | undefined {
    const {part, workspace, ends, provenAgeMs = Infinity} = report;
    if (!this.rows.has(part) && ends.length === 0) {
      return undefined;
    }
    const row = this.findOrCreate(part, workspace);
    const wasSilent = now - row.announcedAtMs > ANNOUNCE_MS;
    const ownProofMs = this.provenAtMs.get(part) ?? -Infinity;
    const provenMs = now - provenAgeMs;
    const isLater = provenMs > row.suspect.provenAtMs + SAME_TIME_MS;
    let isNew = row.suspect.prove(isLater ? provenMs : ownProofMs);
    let isRefuted = false;
    for (const {upstream, ageMs, sentAgeMs} of ends) {
      const atMs = now - ageMs;
      const end = {upstream, atMs, sentAtMs: now - sentAgeMs};
      isNew = this.addEnd(row, end) || isNew;
      isRefuted ||= atMs <= ownProofMs + suspectPart.PROOF_MS;
    }
    mergeTimes(row, report, now);
    // The sender may not know of an own answer, which has to be reported once.
    const mustAnswer = isRefuted && wasSilent;
    if (isNew || mustAnswer) {
      row.announcedAtMs = now;
    }
    return mustAnswer ? 'own' : isNew ? 'reported' : undefined;
  }

  private addEnd(row: Row, end: suspectPart.PartEnd): boolean {
    const ownProofMs = this.provenAtMs.get(row.suspect.id) ?? -Infinity;
    const now = this.options.now();
    const isEvidence =
      end.atMs > ownProofMs + suspectPart.PROOF_MS &&
      now - end.atMs <= suspectPart.END_TTL_MS;
    const isNew = isEvidence && row.suspect.recordEnd(end);
    if (isNew) {
      row.announcedAtMs = now;
    }
    return isNew;
  }

  private rememberAnswer(part: string, now: number): void {
    this.provenAtMs.delete(part);
    this.provenAtMs.set(part, now);
    const [oldest] = this.provenAtMs.keys();
    if (this.provenAtMs.size > MAX_PROVEN_PARTS && oldest !== undefined) {
      this.provenAtMs.delete(oldest);
    }
  }

  private findReported(): readonly Row[] {
    if (this.rows.size === 0) {
      return [];
    }
    const now = this.options.now();
    const isReported = ({belief, announcedAtMs}: Row) =>
      belief === 'held' || now - announcedAtMs <= ANNOUNCE_MS;
    return [...this.rows.values()]
      .filter(isReported)
      .sort((a, b) => compareBeliefs(a.belief, b.belief))
      .slice(0, MAX_REPORTED);
  }

  private findHeld(parts: readonly string[]): readonly Row[] {
    if (this.rows.size === 0) {
      return [];
    }
    return parts.flatMap(part => {
      const row = this.rows.get(part);
      return row?.belief === 'held' ? [row] : [];
    });
  }

  private isTrialDue(row: Row): boolean {
    const {suspect, heldAtMs, trialAtMs, ownTrialSettledMs} = row;
    const now = this.options.now();
    const ownTrials = [...this.ownTrials.values()].filter(({parts}) =>
      parts.includes(suspect.id),
    );
    const isDue = (rank: number): boolean =>
      trialSchedule.isTrialDue(
        {
          ends: suspect.findEnds(now),
          heldAtMs: heldAtMs ?? now,
          trialAtMs: trialAtMs > ownTrialSettledMs ? trialAtMs : -Infinity,
          ownTrialsEndedMs: ownTrials.map(({endedAtMs}) => endedAtMs),
          rank,
        },
        now,
      );
    // Ranking hundreds of instances for each request would cost too much.
    return isDue(0) && isDue(this.findRank(suspect.id));
  }

  /** Place of this instance in the order of those that may try a part. */
  private findRank(part: string): number {
    const {self, findInstances} = this.options;
    const ranked = rendezvous.rankByRendezvous(part, findInstances());
    const rank = ranked.indexOf(self);
    return rank < 0 ? ranked.length : rank;
  }

  private findOrCreate(part: string, workspace: string): Row {
    const known = this.rows.get(part);
    if (known) {
      return known;
    }
    const row: Row = {
      suspect: new suspectPart.SuspectPart(part, workspace),
      belief: 'clear',
      announcedAtMs: -Infinity,
      heldAtMs: undefined,
      trialAtMs: -Infinity,
      ownTrialSettledMs: -Infinity,
    };
    this.rows.set(part, row);
    if (this.rows.size > MAX_PARTS) {
      this.evict();
    }
    return row;
  }

  /**
   * Drops the weakest evidence of the workspace that has most parts here, so
   * that no workspace can displace another one's: callers choose the ids.
   */
  private evict(): void {
    const counts = new Map<string, number>();
    for (const {suspect} of this.rows.values()) {
      counts.set(suspect.workspace, (counts.get(suspect.workspace) ?? 0) + 1);
    }
    const [largest] = [...counts].sort((a, b) => b[1] - a[1]);
    const [weakest] = [...this.rows.values()]
      .filter(({suspect}) => suspect.workspace === largest?.[0])
      .sort((a, b) => compareBeliefs(b.belief, a.belief));
    if (weakest) {
      this.rows.delete(weakest.suspect.id);
    }
  }

  /** Derives all beliefs from the evidence. */
  private updateBeliefs(): void {
    const now = this.options.now();
    const found = [...this.rows.values()]
      .map(row => ({row, ends: row.suspect.findEnds(now)}))
      .sort((a, b) => compareEvidence(a, b));
    const explained = new Set<string>();
    for (const {row, ends} of found) {
      const unexplained = ends.filter(({upstream}) => !explained.has(upstream));
      const isHeld = suspectPart.countOccasions(unexplained) >= HOLD_OCCASIONS;
      if (isHeld) {
        ends.forEach(({upstream}) => explained.add(upstream));
      }
      const suspected = ends.length > 0 ? 'suspected' : 'clear';
      this.setBelief(row, isHeld ? 'held' : suspected, ends);
    }
  }

  private setBelief(
    row: Row,
    after: PartBelief,
    ends: readonly suspectPart.PartEnd[],
  ): void {
    const before = row.belief;
    if (before === after) {
      return;
    }
    row.belief = after;
    if (after === 'held') {
      row.heldAtMs ??= this.options.now();
    }
    if (after === 'clear') {
      row.heldAtMs = undefined;
    }
    this.options.onChange({
      part: row.suspect.id,
      workspace: row.suspect.workspace,
      before,
      after,
      upstreams: ends.map(({upstream}) => upstream),
    });
  }
}

const mergeTimes = (
  row: Row,
  {heldAgeMs, trialAgeMs = Infinity}: ReportedPart,
  now: number,
): void => {
  if (heldAgeMs !== undefined) {
    row.heldAtMs = Math.min(row.heldAtMs ?? Infinity, now - heldAgeMs);
  }
  if (now - trialAgeMs > row.trialAtMs + SAME_TIME_MS) {
    row.trialAtMs = now - trialAgeMs;
  }
};

const STRENGTHS: Readonly<Record<PartBelief, number>> = {
  held: 2,
  suspected: 1,
  clear: 0,
};

/** Orders the strongest belief first. */
const compareBeliefs = (a: PartBelief, b: PartBelief): number =>
  STRENGTHS[b] - STRENGTHS[a];

interface RowEvidence {
  readonly row: Row;
  readonly ends: readonly suspectPart.PartEnd[];
}

/** Orders the part first that explains most ends; the same everywhere. */
const compareEvidence = (a: RowEvidence, b: RowEvidence): number =>
  b.ends.length - a.ends.length ||
  (a.row.suspect.id < b.row.suspect.id ? -1 : 1);
