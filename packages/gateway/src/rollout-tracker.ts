/** Follows the rollouts of all services and reports how they end. */
import type * as protocol from '@amaranthknot/protocol';
import type * as routing from '@amaranthknot/routing';
import * as followedRollout from './followed-rollout.js';
import type * as evidenceTable from './evidence-table.js';
import * as answerTiming from './answer-timing.js';
import type * as runContext from './run-context.js';
import * as versionLatencies from './version-latencies.js';

/** The observed pace of one stream. */
export interface PaceObservation extends versionLatencies.RequestClass {
  /** Mean interval between its first events, in milliseconds. */
  readonly paceMs: number;
}

/** The outcome of one attempt, as evidence on its version. */
export interface VersionObservation extends versionLatencies.RequestClass {
  readonly isError: boolean;
  /** Time to the first byte, in milliseconds; undefined if none came. */
  readonly firstByteMs: number | undefined;
}

/** An answer whose times are compared with typical ones. */
export interface TimedAnswer {
  /** Call it when the head of the answer has arrived. */
  readonly recordFirstByte: () => void;
  /** Call it when an event of the answer has arrived. */
  readonly recordEvent: () => void;
  /**
   * Call it when the attempt has ended. One that was given up is slower if it
   * took long enough by then.
   */
  readonly end: (outcome: runContext.AttemptOutcome) => void;
}

/** What the tracker needs. */
export interface RolloutTrackerOptions
  extends followedRollout.FollowedRolloutOptions {
  /** Writes the end of a rollout; resolves to whether it was written. */
  readonly report: (
    rollout: routing.Rollout,
    state: routing.RolloutState,
  ) => Promise<boolean>;
  /** Position of this instance in the sequence of reporting instances. */
  readonly reportRank: () => number;
}

/**
 * Interval between two instances' attempts to report an end, in ms. A bad version
 * is withdrawn sooner: all instances learn of the verdict at once, and the first
 * may be gone.
 */
const REPORT_STAGGER_MS = {good: 300, bad: 100} as const;

/** A rollout, with the state of the report of its end. */
interface TrackedRollout {
  readonly followed: followedRollout.FollowedRollout;
  /**
   * Typical times by kind of answer, as of the first one since the rollout began:
   * what slows both versions later must not become typical.
   */
  readonly typicalTimes: Map<string, answerTiming.TypicalTimes>;
  /** Answers that are awaited, whose times are compared. */
  readonly awaited: Set<answerTiming.AnswerTiming>;
  /** The end that is due; undefined while there is none. */
  dueEnd: routing.RolloutState | undefined;
  /** When this instance may report the end; undefined until it is due. */
  reportAtMs: number | undefined;
  isReporting: boolean;
}

/** The rollouts of all services. */
export class RolloutTracker {
  private readonly byService = new Map<string, TrackedRollout>();
  /** Latencies of versions in use, also recorded while no rollout runs. */
  private readonly latencies = new versionLatencies.VersionLatencies(
    requestClass => this.isOnTrial(requestClass),
  );

  constructor(private readonly options: RolloutTrackerOptions) {}

  /** Applies a complete listing of the rollouts in the store. */
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
      typicalTimes: new Map(),
      awaited: new Set(),
      dueEnd: undefined,
      reportAtMs: undefined,
      isReporting: false,
    });
    const details = {order: name, state, durationMs};
    this.options.log.info('rollout_followed', details);
  }

  /** Chooses the version for a request; `any` if the service has no rollout. */
  chooseVersion(
    service: string,
    sessionKey: string,
  ): followedRollout.VersionChoice {
    const tracked = this.byService.get(service);
    return tracked?.followed.chooseVersion(sessionKey) ?? {kind: 'any'};
  }

  /** Records the outcome of an attempt. */
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
   * Records the pace of a stream.
   *
   * Guards against a version whose first tokens are on time but whose streams
   * take five times as long: judged by first bytes alone it is reported as
   * completed, and no old version is left to roll back to.
   */
  recordPace(observation: PaceObservation): void {
    const isDragging = this.latencies.isPaceSlow(
      observation,
      observation.paceMs,
    );
    this.count(observation, {paced: 1, dragging: isDragging ? 1 : 0});
  }

  /**
   * Begins to compare the times of an answer with typical ones; undefined if the
   * service has no running rollout. A clock that is set forward must not make
   * answers slower, so the times are those of `steadyNow`.
   */
  beginAnswer(
    requestClass: versionLatencies.RequestClass,
  ): TimedAnswer | undefined {
    const tracked = this.byService.get(requestClass.service);
    if (!tracked?.followed.isRunning) {
      return undefined;
    }
    const {clock} = this.options;
    const timing = new answerTiming.AnswerTiming(
      clock.steadyNow(),
      this.findTypicalTimes(tracked, requestClass),
      isSlower => {
        this.count(requestClass, {compared: 1, slower: isSlower ? 1 : 0});
      },
    );
    tracked.awaited.add(timing);
    return {
      recordFirstByte: () => {
        timing.recordFirstByte(clock.steadyNow());
      },
      recordEvent: () => {
        timing.recordEvent(clock.steadyNow());
      },
      end: outcome => {
        tracked.awaited.delete(timing);
        if (outcome === 'answered') {
          timing.complete();
        } else if (outcome === 'cancelled' || outcome === 'failed') {
          timing.checkOverdue(clock.steadyNow());
        }
      },
    };
  }

  private findTypicalTimes(
    {typicalTimes}: TrackedRollout,
    requestClass: versionLatencies.RequestClass,
  ): answerTiming.TypicalTimes {
    const name = versionLatencies.classKeyOf(requestClass);
    const known = typicalTimes.get(name);
    const current = this.latencies.typicalTimes(requestClass);
    const typical = {
      firstByteMs: known?.firstByteMs ?? current.firstByteMs,
      paceMs: known?.paceMs ?? current.paceMs,
    };
    typicalTimes.set(name, typical);
    return typical;
  }

  /** Whether a running rollout introduces the version. */
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
   * What this instance reports on running rollouts.
   *
   * @param known number of sessions of each rollout that the receiver already
   *     has; they are the first ones of this instance's list.
   */
  progress(
    known: Readonly<Record<string, number>> = {},
  ): readonly protocol.RolloutProgress[] {
    return this.running().map(followed =>
      followed.progress(known[followed.name] ?? 0),
    );
  }

  /** Running rollouts of versions that are judged bad, without sessions. */
  badVersions(): readonly protocol.RolloutProgress[] {
    return this.running()
      .map(followed => followed.progress(Infinity))
      .filter(({isBad}) => isBad === true);
  }

  /** Number of pinned sessions known here, by name of the running rollout. */
  pinnedCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.running().map(({name, pinnedCount}) => [name, pinnedCount]),
    );
  }

  /** Evidence on running rollouts: of all instances, or only of this one. */
  evidence(scope: 'all' | 'own' = 'all'): readonly protocol.OrderEvidence[] {
    return this.running().flatMap(followed => followed.evidenceRows(scope));
  }

  /** Evidence on running rollouts, summed over instances. */
  evidenceSums(): readonly protocol.EvidenceSum[] {
    return this.running().flatMap(followed => followed.evidenceSums());
  }

  /** Merges a peer's report. */
  merge(
    progress: readonly protocol.RolloutProgress[],
    evidence: readonly protocol.OrderEvidence[],
  ): void {
    this.running().forEach(followed => {
      followed.merge(progress, evidence);
    });
  }

  /** Applies a watcher's sums over all instances. */
  applySums(
    progress: readonly protocol.RolloutProgress[],
    sums: readonly protocol.EvidenceSum[],
  ): void {
    this.running().forEach(followed => {
      followed.applySums(progress, sums);
    });
  }

  /** Reports the ends that are due. */
  reportDueEnds(): void {
    const steadyMs = this.options.clock.steadyNow();
    for (const tracked of this.byService.values()) {
      tracked.awaited.forEach(timing => {
        timing.checkOverdue(steadyMs);
      });
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
   * Instances report one after the other, and only while the rollout still
   * runs; all at once they would cost the store one write each.
   */
  private reportEnd(tracked: TrackedRollout, end: routing.RolloutState): void {
    const {reportRank, report, clock} = this.options;
    const now = clock.now();
    const staggerMs =
      end === 'rolled_back' ? REPORT_STAGGER_MS.bad : REPORT_STAGGER_MS.good;
    if (tracked.dueEnd !== end) {
      tracked.dueEnd = end;
      tracked.reportAtMs = undefined;
    }
    tracked.reportAtMs ??= now + reportRank() * staggerMs;
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
        ...followed.describeEvidence(),
      });
      tracked.isReporting = false;
      tracked.reportAtMs = clock.now() + staggerMs;
    });
  }
}
