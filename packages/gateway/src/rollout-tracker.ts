/** Follows the roll-outs of all services and reports how they end. */
import type * as protocol from '@amaranthknot/protocol';
import type * as routing from '@amaranthknot/routing';
import * as followedRollout from './followed-rollout.js';
import type * as evidenceTable from './evidence-table.js';
import * as versionLatencies from './version-latencies.js';

/** The pace of one stream. */
export interface PaceObservation extends versionLatencies.RequestClass {
  /** Mean pause between its first events. */
  readonly paceMs: number;
}

/** One finished try, as far as it tells something about its version. */
export interface VersionObservation extends versionLatencies.RequestClass {
  readonly isError: boolean;
  /** Time to the first byte; undefined where none came. */
  readonly firstByteMs: number | undefined;
}

/** Parts that the tracker works with. */
export interface RolloutTrackerOptions
  extends followedRollout.FollowedRolloutOptions {
  /** Writes how an order ended; resolves to whether it was written. */
  readonly report: (
    rollout: routing.Rollout,
    state: routing.RolloutState,
  ) => Promise<boolean>;
  /** Place of this instance in the order in which instances report. */
  readonly reportRank: () => number;
}

/** Time between two instances' tries to report an end, in milliseconds. */
const REPORT_STAGGER_MS = 300;

/** An order, and how far the report of its end has come. */
interface TrackedRollout {
  readonly followed: followedRollout.FollowedRollout;
  /** When this instance may report the end; undefined while there is none. */
  reportAtMs: number | undefined;
  isReporting: boolean;
}

/** The roll-outs of all services. */
export class RolloutTracker {
  private readonly byService = new Map<string, TrackedRollout>();
  /** Latencies of versions in use, learnt also while no order runs. */
  private readonly latencies = new versionLatencies.VersionLatencies(
    requestClass => this.isOnTrial(requestClass),
  );

  constructor(private readonly options: RolloutTrackerOptions) {}

  /** Takes in the orders that the store holds. */
  applyRollouts(rollouts: readonly routing.Rollout[]): void {
    const services = new Set(rollouts.map(({service}) => service));
    for (const service of this.byService.keys()) {
      if (!services.has(service)) {
        this.byService.delete(service);
      }
    }
    rollouts.forEach(rollout => {
      this.applyRollout(rollout);
    });
  }

  private applyRollout(rollout: routing.Rollout): void {
    const {service, state, durationMs} = rollout;
    const name = followedRollout.rolloutNameOf(rollout);
    const known = this.byService.get(service)?.followed;
    if (known?.name === name) {
      known.rollout = rollout;
      return;
    }
    this.byService.set(service, {
      followed: new followedRollout.FollowedRollout(rollout, this.options),
      reportAtMs: undefined,
      isReporting: false,
    });
    const details = {order: name, state, durationMs};
    this.options.log.info('rollout_followed', details);
  }

  /** Which version a request is to run on. */
  chooseVersion(
    service: string,
    sessionKey: string,
  ): followedRollout.VersionChoice {
    const tracked = this.byService.get(service);
    return tracked?.followed.chooseVersion(sessionKey) ?? {kind: 'any'};
  }

  /** Notes a finished try. */
  recordAttempt(observation: VersionObservation): void {
    const {firstByteMs} = observation;
    const isSlow =
      firstByteMs !== undefined &&
      this.latencies.isFirstByteSlow(observation, firstByteMs);
    this.count(observation, {
      requests: 1,
      errors: observation.isError ? 1 : 0,
      slow: isSlow ? 1 : 0,
    });
  }

  /**
   * Notes the pace of a stream.
   *
   * Guards against a version whose first tokens are on time and whose streams
   * then take five times as long: judged by first bytes alone it was reported
   * as done, and nothing else was left to go back to.
   */
  recordPace(observation: PaceObservation): void {
    const isDragging = this.latencies.isPaceSlow(
      observation,
      observation.paceMs,
    );
    this.count(observation, {paced: 1, dragging: isDragging ? 1 : 0});
  }

  /** Whether the version is one that an order brings in now. */
  private isOnTrial({
    service,
    version,
  }: versionLatencies.RequestClass): boolean {
    const followed = this.byService.get(service)?.followed;
    return followed?.isRunning === true && followed.rollout.version === version;
  }

  private count(
    requestClass: versionLatencies.RequestClass,
    increment: evidenceTable.CountIncrement,
  ): void {
    const followed = this.byService.get(requestClass.service)?.followed;
    if (followed?.isRunning) {
      followed.count(
        requestClass.route,
        this.isOnTrial(requestClass) ? 'new' : 'old',
        increment,
      );
    }
  }

  /**
   * What this instance tells of orders that run.
   *
   * @param known sessions of each order that the other has been told, which
   *     are the first ones of this instance's list.
   */
  progress(
    known: Readonly<Record<string, number>> = {},
  ): readonly protocol.RolloutProgress[] {
    return this.running().map(followed =>
      followed.progress(known[followed.name] ?? 0),
    );
  }

  /** Sessions that this instance knows of each order that runs. */
  pinnedCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.running().map(({name, pinnedCount}) => [name, pinnedCount]),
    );
  }

  /** Evidence on orders that run: all that is known, or this instance's own. */
  evidence(scope: 'all' | 'own' = 'all'): readonly protocol.OrderEvidence[] {
    return this.running().flatMap(followed => followed.evidenceRows(scope));
  }

  /** Evidence on orders that run, added up over instances. */
  evidenceSums(): readonly protocol.EvidenceSum[] {
    return this.running().flatMap(followed => followed.evidenceSums());
  }

  /** Takes in what a peer told. */
  merge(
    progress: readonly protocol.RolloutProgress[],
    evidence: readonly protocol.OrderEvidence[],
  ): void {
    this.running().forEach(followed => {
      followed.merge(progress, evidence);
    });
  }

  /** Takes in sums that a watcher made over all instances. */
  applySums(
    progress: readonly protocol.RolloutProgress[],
    sums: readonly protocol.EvidenceSum[],
  ): void {
    this.running().forEach(followed => {
      followed.applySums(progress, sums);
    });
  }

  /** Reports ends that are due. */
  reportDueEnds(): void {
    for (const tracked of this.byService.values()) {
      const end = tracked.followed.isRunning
        ? tracked.followed.findEnd()
        : undefined;
      if (end) {
        this.reportEnd(tracked, end);
      }
    }
  }

  private running(): readonly followedRollout.FollowedRollout[] {
    return [...this.byService.values()]
      .map(({followed}) => followed)
      .filter(({isRunning}) => isRunning);
  }

  /**
   * Instances report one after the other, and only while the order still
   * runs: all at once they would cost the store a write each.
   */
  private reportEnd(tracked: TrackedRollout, end: routing.RolloutState): void {
    const {reportRank, report, clock} = this.options;
    const now = clock.now();
    tracked.reportAtMs ??= now + reportRank() * REPORT_STAGGER_MS;
    if (now < tracked.reportAtMs || tracked.isReporting) {
      return;
    }
    tracked.isReporting = true;
    const {followed} = tracked;
    void report(followed.rollout, end).then(isWritten => {
      this.options.log.info('rollout_reported', {
        order: followed.name,
        end,
        isWritten,
        ageMs: Math.round(followed.ageMs),
      });
      tracked.isReporting = false;
      tracked.reportAtMs = clock.now() + REPORT_STAGGER_MS;
    });
  }
}
