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
 * between. Ends that a held part explains count against no other part. A
 * request that is sent on trial decides whether the hold goes on. Instances
 * share the evidence, so that all come to the same beliefs. Pure: the clock is
 * an option.
 */
import * as lastAnswers from './last-answers.js';
import type * as newsOrigin from './news-origin.js';
import * as partBeliefs from './part-beliefs.js';
import * as partRow from './part-row.js';
import * as rendezvous from './rendezvous.js';
import * as suspectPart from './suspect-part.js';
import * as trialSchedule from './trial-schedule.js';

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
  readonly before: partRow.PartBelief;
  readonly after: partRow.PartBelief;
  /** Upstreams that ended under it since the last answer that began. */
  readonly upstreams: readonly string[];
}

/** What an instance is told: what is new, or all that is held too. */
export type EvidenceScope = 'news' | 'held';

/** Options of `PartQuarantine`. */
export interface PartQuarantineOptions {
  readonly now: () => number;
  /** Id of this instance. */
  readonly self: string;
  /** Ids of all instances that take callers. */
  readonly findInstances: () => readonly string[];
  readonly onChange: (change: PartChange) => void;
  /** Called when other instances should learn of new evidence at once. */
  readonly onEvidence: (source: newsOrigin.NewsOrigin) => void;
}

/** Parts about which evidence is kept, over all workspaces. */
const MAX_PARTS = 1_024;

/**
 * Time for which new evidence is reported, in milliseconds: a few rounds of
 * messages. What is held is reported again every `REPEAT_EVERY_MS`, for
 * `REPEAT_MS`, for instances that were cut off: in each message it would exceed
 * what messages between instances may cost.
 */
const ANNOUNCE_MS = 3_000;
const REPEAT_EVERY_MS = 5_000;
const REPEAT_MS = 600;

/** Parts in one report at most. */
const MAX_REPORTED = 64;

/** A request of this instance that was sent on trial. */
interface OwnTrial {
  readonly parts: readonly string[];
  endedAtMs: number | undefined;
}

/** The parts about which one instance has evidence. */
export class PartQuarantine {
  private readonly rows = new Map<string, partRow.PartRow>();
  private readonly answers = new lastAnswers.LastAnswers();
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
   * @param coincident other upstreams that ended at the same moment.
   */
  recordEnd(
    upstream: string,
    atMs: number,
    parts: readonly UnansweredPart[],
    coincident: readonly string[] = [],
  ): void {
    let isNew = false;
    const latestFirst = [...parts].sort((a, b) => b.sentAtMs - a.sentAtMs);
    for (const {part, workspace, sentAtMs} of latestFirst) {
      const row = this.findOrCreate(part, workspace);
      const end = {upstream, atMs, sentAtMs, coincident};
      isNew = this.addEnd(row, end) || isNew;
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
      this.answers.record(part, now);
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
      row.announcedAtMs = now;
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
  merge(reports: readonly partRow.ReportedPart[]): void {
    const now = this.options.now();
    const sources = reports.flatMap(report => this.mergeOne(report, now) ?? []);
    if (sources.length > 0) {
      this.updateBeliefs();
      this.options.onEvidence(sources.includes('own') ? 'own' : 'reported');
    }
  }

  /**
   * Evidence to report to other instances now.
   *
   * @param scope `news` for one that gets reports all the time, `held` for one
   *     that starts.
   */
  report(scope: EvidenceScope = 'news'): readonly partRow.ReportedPart[] {
    const now = this.options.now();
    return this.findReported(scope).map(row => partRow.describeRow(row, now));
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
    report: partRow.ReportedPart,
    now: number,
  ): newsOrigin.NewsOrigin | undefined {
    const {part, workspace, ends, provenAgeMs = Infinity} = report;
    if (!this.rows.has(part) && ends.length === 0) {
      return undefined;
    }
    const row = this.findOrCreate(part, workspace);
    const wasSilent = now - row.announcedAtMs > ANNOUNCE_MS;
    const ownProofMs = this.answers.find(part);
    const provenMs = now - provenAgeMs;
    const isLater = provenMs > row.suspect.provenAtMs + partRow.SAME_TIME_MS;
    let isNew = row.suspect.prove(isLater ? provenMs : ownProofMs);
    let isRefuted = false;
    for (const {upstream, ageMs, sentAgeMs, coincident = []} of ends) {
      const atMs = now - ageMs;
      const end = {upstream, atMs, sentAtMs: now - sentAgeMs, coincident};
      isNew = this.addEnd(row, end) || isNew;
      isRefuted ||= atMs <= ownProofMs + suspectPart.PROOF_MS;
    }
    isNew = partRow.mergeTimes(row, report, now) || isNew;
    // The sender may not know of an own answer, which has to be reported once.
    const mustAnswer = isRefuted && wasSilent;
    if (isNew || mustAnswer) {
      row.announcedAtMs = now;
    }
    if (mustAnswer) {
      return 'own';
    }
    return isNew ? 'reported' : undefined;
  }

  private addEnd(row: partRow.PartRow, end: suspectPart.PartEnd): boolean {
    const ownProofMs = this.answers.find(row.suspect.id);
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

  private findReported(scope: EvidenceScope): readonly partRow.PartRow[] {
    if (this.rows.size === 0) {
      return [];
    }
    const now = this.options.now();
    const isHeldDue = scope === 'held' || now % REPEAT_EVERY_MS < REPEAT_MS;
    const isReported = ({belief, announcedAtMs}: partRow.PartRow) =>
      (belief === 'held' && isHeldDue) || now - announcedAtMs <= ANNOUNCE_MS;
    return [...this.rows.values()]
      .filter(isReported)
      .sort((a, b) => partRow.compareBeliefs(a.belief, b.belief))
      .slice(0, MAX_REPORTED);
  }

  private findHeld(parts: readonly string[]): readonly partRow.PartRow[] {
    if (this.rows.size === 0) {
      return [];
    }
    return parts.flatMap(part => {
      const row = this.rows.get(part);
      return row?.belief === 'held' ? [row] : [];
    });
  }

  private isTrialDue(row: partRow.PartRow): boolean {
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

  private findOrCreate(part: string, workspace: string): partRow.PartRow {
    const known = this.rows.get(part);
    if (known) {
      return known;
    }
    const row = partRow.createPartRow(part, workspace);
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
      .sort((a, b) => partRow.compareBeliefs(b.belief, a.belief));
    if (weakest) {
      this.rows.delete(weakest.suspect.id);
    }
  }

  private updateBeliefs(): void {
    const now = this.options.now();
    for (const {row, belief, ends} of partBeliefs.deriveBeliefs(
      [...this.rows.values()],
      now,
    )) {
      this.setBelief(row, belief, ends);
    }
  }

  private setBelief(
    row: partRow.PartRow,
    after: partRow.PartBelief,
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
