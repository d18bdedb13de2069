/**
 * One rollout as this instance follows it: traffic share, sessions, evidence.
 *
 * Sessions that are under way when it begins stay on the old version at first.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as routing from '@amaranthknot/routing';
import * as evidenceTable from './evidence-table.js';

/** Which versions of a service may run a request. */
export type VersionChoice =
  | {readonly kind: 'any'}
  /** `fallback`: versions that may run it if no accepted one can. */
  | {
      readonly kind: 'only';
      readonly accepts: (version: string) => boolean;
      readonly fallback: ((version: string) => boolean) | undefined;
      readonly subset: UpstreamSubset | undefined;
    };

/** A subset of a version's upstreams, the same on all instances. */
export interface UpstreamSubset {
  /** Key of the rendezvous ranking that selects them. */
  readonly key: string;
  /** Fraction of the version's upstreams; at least one is used. */
  readonly fraction: number;
}

/** What following a rollout needs. */
export interface FollowedRolloutOptions {
  readonly clock: ports.Clock;
  /** Identifies this start of this instance. */
  readonly incarnation: string;
  readonly sessionMs: number;
  readonly limit: decisions.ExposureLimit;
  readonly log: telemetry.DecisionLog;
  /** Called when a version is judged bad, here or by another instance. */
  readonly onBad: (origin: decisions.NewsOrigin) => void;
}

/**
 * Fraction of a rollout's time for which an instance must have followed it to
 * conclude from missing answers that the service is unused.
 */
const MIN_FOLLOWED_FRACTION = 0.9;

/** Maximum number of sessions remembered for one rollout. */
const MAX_PINNED_SESSIONS = 2_000;

const only = (accepts: (version: string) => boolean) =>
  ({
    kind: 'only',
    accepts,
    fallback: undefined,
    subset: undefined,
  }) as const;

/** Name of a rollout: `SERVICE/VERSION`. */
export const rolloutNameOf = (rollout: routing.Rollout): string =>
  `${rollout.service}/${rollout.version}`;

/** One rollout. */
export class FollowedRollout {
  private startedAtMs: number;
  private readonly followedFromMs: number;
  private verdict: decisions.VersionVerdict = 'unclear';
  private judgedAtMs: number;
  /** Hashes of sessions that must stay on the old version. */
  private readonly pinned = new Set<number>();
  private readonly evidence: evidenceTable.EvidenceTable;

  /** @param rollout as stored; replaced when its state changes. */
  constructor(
    public rollout: routing.Rollout,
    private readonly options: FollowedRolloutOptions,
  ) {
    this.startedAtMs = options.clock.steadyNow();
    this.followedFromMs = this.startedAtMs;
    this.judgedAtMs = this.startedAtMs;
    this.evidence = new evidenceTable.EvidenceTable(options.incarnation);
  }

  get name(): string {
    return rolloutNameOf(this.rollout);
  }

  get isRunning(): boolean {
    return this.rollout.state === 'running';
  }

  /**
   * Time since the rollout began, as far as is known here, in ms. It is never too
   * long: a wall clock that is set forward on one instance would otherwise end
   * the rollout early on all, before there is evidence.
   */
  get ageMs(): number {
    return this.options.clock.steadyNow() - this.startedAtMs;
  }

  /** Number of pinned sessions that this instance knows. */
  get pinnedCount(): number {
    return this.pinned.size;
  }

  /** Chooses the version for a request; requests of a session share the key. */
  chooseVersion(sessionKey: string): VersionChoice {
    const {version: newVersion, state} = this.rollout;
    const isNew = (version: string) => version === newVersion;
    const isOld = (version: string) => version !== newVersion;
    switch (state) {
      case 'completed':
        return only(isNew);
      case 'rolled_back':
        return only(isOld);
      case 'running':
        return this.assign(sessionKey) === 'new'
          ? {
              ...only(isNew),
              fallback: isOld,
              subset: this.findSubset(),
            }
          : only(isOld);
    }
  }

  /** Adds an observation of one of the two versions on a route. */
  count(
    route: string,
    version: decisions.RolloutVersion,
    increment: evidenceTable.CountIncrement,
  ): void {
    this.evidence.count(route, version, increment);
    this.updateVerdict();
  }

  /** What this instance reports, without its first `skipCount` sessions. */
  progress(skipCount: number): protocol.RolloutProgress {
    return {
      order: this.name,
      ageMs: this.ageMs,
      pinned: [...this.pinned].slice(skipCount),
      ...(this.verdict === 'bad' ? {isBad: true} : {}),
    };
  }

  /** Evidence of all instances, or only what this instance observed. */
  evidenceRows(scope: 'all' | 'own'): readonly protocol.OrderEvidence[] {
    return this.evidence.rows(scope).map(row => ({order: this.name, ...row}));
  }

  /** Evidence summed over instances. */
  evidenceSums(): readonly protocol.EvidenceSum[] {
    return this.evidence.sums().map(sum => ({order: this.name, ...sum}));
  }

  /** Merges a peer's report, which covers all rollouts. */
  merge(
    progress: readonly protocol.RolloutProgress[],
    evidence: readonly protocol.OrderEvidence[],
  ): void {
    this.mergeProgress(progress);
    evidence
      .filter(({order}) => order === this.name)
      .forEach(row => {
        this.evidence.merge(row);
      });
    this.updateVerdict();
  }

  /** Applies a watcher's sums over all instances, which cover all rollouts. */
  applySums(
    progress: readonly protocol.RolloutProgress[],
    sums: readonly protocol.EvidenceSum[],
  ): void {
    this.mergeProgress(progress);
    const ownSums = sums.filter(({order}) => order === this.name);
    this.evidence.applySums(ownSums, this.options.clock.now());
    this.updateVerdict();
  }

  /** The state in which the rollout should end now; undefined to continue. */
  findEnd(): routing.RolloutState | undefined {
    this.updateVerdict();
    const judgedAgoMs = this.options.clock.steadyNow() - this.judgedAtMs;
    return decisions.findRolloutEnd(this.timing(), this.verdict, judgedAgoMs);
  }

  /**
   * Selects the same fraction of the upstreams as the share of the traffic, so
   * that each carries about the load that it will have at the end. A single
   * upstream would be overloaded, and a good version rolled back for it.
   */
  private findSubset(): UpstreamSubset | undefined {
    const conditions = this.conditions();
    return decisions.isConcentrated(conditions)
      ? {key: this.name, fraction: decisions.findRolloutShare(conditions)}
      : undefined;
  }

  private mergeProgress(progress: readonly protocol.RolloutProgress[]): void {
    for (const report of progress.filter(({order}) => order === this.name)) {
      const startedAtMs = this.options.clock.steadyNow() - report.ageMs;
      // The instance that saw the rollout first knows its age best.
      this.startedAtMs = Math.min(this.startedAtMs, startedAtMs);
      report.pinned.forEach(session => {
        this.pin(session);
      });
      if (report.isBad === true) {
        this.setVerdict('bad', 'reported');
      }
    }
  }

  private currentEvidence(): decisions.EvidenceByRoute {
    return this.evidence.current(this.options.clock.now());
  }

  private timing(): decisions.RolloutTiming {
    return {
      ageMs: this.ageMs,
      durationMs: this.rollout.durationMs,
      sessionMs: this.options.sessionMs,
    };
  }

  private conditions(): decisions.RolloutConditions {
    const timing = this.timing();
    const {limit} = this.options;
    return {
      timing,
      verdict: this.verdict,
      limit,
      fullTrafficMs: decisions.findFullTrafficMs(
        timing,
        decisions.sumEvidence(this.currentEvidence()),
        limit,
      ),
    };
  }

  private assign(sessionKey: string): decisions.RolloutVersion {
    const timing = this.timing();
    const hash = decisions.hashText(sessionKey);
    const mayMove = decisions.mayMoveSessions(timing);
    if (timing.ageMs < decisions.findHoldMs(timing.sessionMs)) {
      // The session was under way when the rollout began: for now it must not
      // change versions.
      const {share} = this.options.limit;
      const nextVersion = decisions.assignVersion(this.name, sessionKey, share);
      if (nextVersion === 'new') {
        this.pin(hash);
      }
      return 'old';
    }
    if (!mayMove && this.pinned.has(hash)) {
      return 'old';
    }
    const share = decisions.findRolloutShare(this.conditions());
    return decisions.assignVersion(this.name, sessionKey, share);
  }

  private pin(session: number): void {
    if (this.pinned.size < MAX_PINNED_SESSIONS) {
      this.pinned.add(session);
    }
  }

  private updateVerdict(): void {
    if (this.verdict === 'bad') {
      return;
    }
    const verdict = decisions.judgeVersion(this.currentEvidence());
    const isUninformed = verdict === 'unclear' && !this.hasFollowed();
    this.setVerdict(isUninformed ? 'unproved' : verdict, 'own');
  }

  /**
   * Whether this instance has followed the rollout for most of its time. One that
   * has just started knows of no answers, which is no evidence.
   */
  private hasFollowed(): boolean {
    const followedMs = this.options.clock.steadyNow() - this.followedFromMs;
    return followedMs >= MIN_FOLLOWED_FRACTION * this.ageMs;
  }

  private setVerdict(
    verdict: decisions.VersionVerdict,
    origin: decisions.NewsOrigin,
  ): void {
    if (verdict === this.verdict || this.verdict === 'bad') {
      return;
    }
    this.verdict = verdict;
    this.judgedAtMs = this.options.clock.steadyNow();
    this.options.log.info('rollout_judged', {
      order: this.name,
      verdict,
      origin,
      ...this.describeEvidence(),
    });
    if (verdict === 'bad') {
      this.options.onBad(origin);
    }
  }

  /** What verdicts rest on, for the log. */
  describeEvidence(): telemetry.Details {
    const {new: newCounts, old: oldCounts} = decisions.sumEvidence(
      this.currentEvidence(),
    );
    return {
      ageMs: Math.round(this.ageMs),
      newRequests: newCounts.requests,
      newErrors: newCounts.errors,
      newSlow: newCounts.slow,
      newPaced: newCounts.paced,
      newDragging: newCounts.dragging,
      newCompared: newCounts.compared,
      newSlower: newCounts.slower,
      oldRequests: oldCounts.requests,
      oldErrors: oldCounts.errors,
      oldSlow: oldCounts.slow,
      oldPaced: oldCounts.paced,
      oldDragging: oldCounts.dragging,
      oldCompared: oldCounts.compared,
      oldSlower: oldCounts.slower,
    };
  }
}
