/** One roll-out as an instance follows it: its share, sessions and evidence. */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as routing from '@amaranthknot/routing';
import * as evidenceTable from './evidence-table.js';

/** Which version of a service a request is to run on. */
export type VersionChoice =
  | {readonly kind: 'any'}
  /** `fallback`: any other version may take it where that one cannot. */
  | {
      readonly kind: 'only';
      readonly accepts: (version: string) => boolean;
      readonly fallback: ((version: string) => boolean) | undefined;
      readonly subset: UpstreamSubset | undefined;
    };

/** Some of the upstreams of a version, the same ones on all instances. */
export interface UpstreamSubset {
  /** Names the ranking by which they are chosen. */
  readonly key: string;
  /** Part of the version's upstreams; at least one is used. */
  readonly fraction: number;
}

/** Parts that following an order works with. */
export interface FollowedRolloutOptions {
  readonly clock: ports.Clock;
  /** Names this start of this instance. */
  readonly incarnation: string;
  readonly sessionMs: number;
  readonly limit: decisions.ExposureLimit;
  readonly log: telemetry.DecisionLog;
}

/** Sessions remembered of one order. */
const MAX_PINNED_SESSIONS = 2_000;

const only = (accepts: (version: string) => boolean) =>
  ({
    kind: 'only',
    accepts,
    fallback: undefined,
    subset: undefined,
  }) as const;

/** Names an order: service and version. */
export const rolloutNameOf = (rollout: routing.Rollout): string =>
  `${rollout.service}/${rollout.version}`;

/** One order. */
export class FollowedRollout {
  private startedAtMs: number;
  private verdict: decisions.VersionVerdict = 'unclear';
  /** Sessions that must stay with the old version, by hash. */
  private readonly pinned = new Set<number>();
  private readonly evidence: evidenceTable.EvidenceTable;

  /** @param rollout as the store holds it; its state changes. */
  constructor(
    public rollout: routing.Rollout,
    private readonly options: FollowedRolloutOptions,
  ) {
    this.startedAtMs = options.clock.now();
    this.evidence = new evidenceTable.EvidenceTable(options.incarnation);
  }

  get name(): string {
    return rolloutNameOf(this.rollout);
  }

  get isRunning(): boolean {
    return this.rollout.state === 'running';
  }

  /** Time since the order, as far as this instance knows, in milliseconds. */
  get ageMs(): number {
    return this.options.clock.now() - this.startedAtMs;
  }

  /** Sessions that this instance knows. */
  get pinnedCount(): number {
    return this.pinned.size;
  }

  /** Which version a request is to run on. */
  chooseVersion(sessionKey: string): VersionChoice {
    const {version: ordered, state} = this.rollout;
    const isNew = (version: string) => version === ordered;
    const isOld = (version: string) => version !== ordered;
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

  /** Counts a sign of one of the two versions on a route. */
  count(
    route: string,
    version: decisions.RolloutVersion,
    increment: evidenceTable.CountIncrement,
  ): void {
    this.evidence.count(route, version, increment);
    this.judge();
  }

  /** What this instance tells, but for its first `known` sessions. */
  progress(skipCount: number): protocol.RolloutProgress {
    return {
      order: this.name,
      ageMs: this.ageMs,
      pinned: [...this.pinned].slice(skipCount),
    };
  }

  /** Evidence: all that is known, or this instance's own. */
  evidenceRows(scope: 'all' | 'own'): readonly protocol.OrderEvidence[] {
    return this.evidence.rows(scope).map(row => ({order: this.name, ...row}));
  }

  /** Evidence added up over instances. */
  evidenceSums(): readonly protocol.EvidenceSum[] {
    return this.evidence.sums().map(sum => ({order: this.name, ...sum}));
  }

  /** Takes in what a peer told of all orders. */
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
    this.judge();
  }

  /** Takes in sums over all instances that a watcher made of all orders. */
  applySums(
    progress: readonly protocol.RolloutProgress[],
    sums: readonly protocol.EvidenceSum[],
  ): void {
    this.mergeProgress(progress);
    const ownSums = sums.filter(({order}) => order === this.name);
    this.evidence.applySums(ownSums, this.options.clock.now());
    this.judge();
  }

  /** How the order should end now; undefined where it goes on. */
  findEnd(): routing.RolloutState | undefined {
    this.judge();
    return decisions.findRolloutEnd(this.timing(), this.verdict);
  }

  /**
   * As many upstreams as the share is of the traffic, so that each carries
   * about as much as all will later. One alone would be overloaded, and a good
   * version be rolled back for it.
   */
  private findSubset(): UpstreamSubset | undefined {
    const outlook = this.outlook();
    return decisions.isConcentrated(outlook)
      ? {key: this.name, fraction: decisions.findRolloutShare(outlook)}
      : undefined;
  }

  private mergeProgress(progress: readonly protocol.RolloutProgress[]): void {
    for (const heard of progress.filter(({order}) => order === this.name)) {
      const startedAtMs = this.options.clock.now() - heard.ageMs;
      // The first to see the order knows its age best.
      this.startedAtMs = Math.min(this.startedAtMs, startedAtMs);
      heard.pinned.forEach(session => {
        this.pin(session);
      });
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

  private outlook(): decisions.RolloutConditions {
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
    const isMoving = decisions.mayMoveSessions(timing);
    if (timing.ageMs < decisions.findHoldMs(timing.sessionMs)) {
      // Under way at the order, it must not change versions at first.
      const {share} = this.options.limit;
      const isNext = decisions.assignVersion(this.name, sessionKey, share);
      if (isNext === 'new') {
        this.pin(hash);
      }
      return 'old';
    }
    if (!isMoving && this.pinned.has(hash)) {
      return 'old';
    }
    const share = decisions.findRolloutShare(this.outlook());
    return decisions.assignVersion(this.name, sessionKey, share);
  }

  private pin(session: number): void {
    if (this.pinned.size < MAX_PINNED_SESSIONS) {
      this.pinned.add(session);
    }
  }

  private judge(): void {
    if (this.verdict === 'bad') {
      return;
    }
    const evidence = this.currentEvidence();
    const verdict = decisions.judgeVersion(evidence);
    if (verdict !== this.verdict) {
      this.verdict = verdict;
      this.logVerdict(decisions.sumEvidence(evidence));
    }
  }

  private logVerdict({new: n, old: o}: decisions.RolloutEvidence): void {
    this.options.log.info('rollout_judged', {
      order: this.name,
      verdict: this.verdict,
      ageMs: Math.round(this.ageMs),
      newRequests: n.requests,
      newErrors: n.errors,
      newSlow: n.slow,
      newPaced: n.paced,
      newDragging: n.dragging,
      oldRequests: o.requests,
      oldErrors: o.errors,
      oldSlow: o.slow,
      oldPaced: o.paced,
      oldDragging: o.dragging,
    });
  }
}
