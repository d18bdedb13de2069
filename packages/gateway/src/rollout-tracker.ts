/** Follows the roll-outs of all services and reports how they end. */
import type * as protocol from '@amaranthknot/protocol';
import type * as routing from '@amaranthknot/routing';
import * as followedOrder from './followed-order.js';
import type * as orderEvidence from './order-evidence.js';
import * as versionLatencies from './version-latencies.js';

/** The pace of one stream. */
export interface PaceSign extends versionLatencies.VersionWork {
  /** Mean pause between its first events. */
  readonly paceMs: number;
}

/** One finished try, as far as it tells something about its version. */
export interface VersionSign extends versionLatencies.VersionWork {
  readonly isBad: boolean;
  /** Time to the first byte; undefined where none came. */
  readonly firstByteMs: number | undefined;
}

/** Parts that the tracker works with. */
export interface RolloutTrackerOptions
  extends followedOrder.FollowedOrderOptions {
  /** Writes how an order ended; resolves to whether it was written. */
  readonly report: (
    order: routing.RolloutOrder,
    state: routing.RolloutState,
  ) => Promise<boolean>;
  /** Place of this instance in the order in which instances report. */
  readonly rank: () => number;
}

/** Time between two instances' tries to report an end, in milliseconds. */
const REPORT_STEP_MS = 300;

/** An order, and how far the report of its end has come. */
interface Tracked {
  readonly followed: followedOrder.FollowedOrder;
  /** When this instance may report the end; undefined while there is none. */
  reportAtMs: number | undefined;
  isReporting: boolean;
}

/** The roll-outs of all services. */
export class RolloutTracker {
  private readonly byService = new Map<string, Tracked>();
  /** Latencies of versions in use, learnt also while no order runs. */
  private readonly latencies = new versionLatencies.VersionLatencies(work =>
    this.isOnTrial(work),
  );

  constructor(private readonly options: RolloutTrackerOptions) {}

  /** Takes in the orders that the store holds. */
  takeOrders(orders: readonly routing.RolloutOrder[]): void {
    const services = new Set(orders.map(({service}) => service));
    for (const service of this.byService.keys()) {
      if (!services.has(service)) {
        this.byService.delete(service);
      }
    }
    orders.forEach(order => {
      this.takeOrder(order);
    });
  }

  private takeOrder(order: routing.RolloutOrder): void {
    const {service, state, durationMs} = order;
    const name = followedOrder.nameOrder(order);
    const known = this.byService.get(service)?.followed;
    if (known?.name === name) {
      known.order = order;
      return;
    }
    this.byService.set(service, {
      followed: new followedOrder.FollowedOrder(order, this.options),
      reportAtMs: undefined,
      isReporting: false,
    });
    const details = {order: name, state, durationMs};
    this.options.log.belief('rollout_followed', details);
  }

  /** Which version a request is to run on. */
  chooseVersion(
    service: string,
    sessionKey: string,
  ): followedOrder.VersionChoice {
    const tracked = this.byService.get(service);
    return tracked?.followed.chooseVersion(sessionKey) ?? {kind: 'any'};
  }

  /** Notes a finished try. */
  note(sign: VersionSign): void {
    const {firstByteMs} = sign;
    const isSlow =
      firstByteMs !== undefined &&
      this.latencies.isFirstByteSlow(sign, firstByteMs);
    this.count(sign, {
      requests: 1,
      errors: sign.isBad ? 1 : 0,
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
  notePace(sign: PaceSign): void {
    const isDragging = this.latencies.isPaceSlow(sign, sign.paceMs);
    this.count(sign, {paced: 1, dragging: isDragging ? 1 : 0});
  }

  /** Whether the version is one that an order brings in now. */
  private isOnTrial({service, version}: versionLatencies.VersionWork): boolean {
    const followed = this.byService.get(service)?.followed;
    return followed?.isRunning === true && followed.order.version === version;
  }

  private count(
    work: versionLatencies.VersionWork,
    sign: orderEvidence.CountedSign,
  ): void {
    const followed = this.byService.get(work.service)?.followed;
    if (followed?.isRunning) {
      followed.count(work.route, this.isOnTrial(work) ? 'new' : 'old', sign);
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
  evidence(whose: 'all' | 'own' = 'all'): readonly protocol.OrderEvidence[] {
    return this.running().flatMap(followed => followed.evidenceRows(whose));
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
  takeSums(
    progress: readonly protocol.RolloutProgress[],
    sums: readonly protocol.EvidenceSum[],
  ): void {
    this.running().forEach(followed => {
      followed.takeSums(progress, sums);
    });
  }

  /** Reports ends that are due. */
  step(): void {
    for (const tracked of this.byService.values()) {
      const end = tracked.followed.isRunning
        ? tracked.followed.findEnd()
        : undefined;
      if (end) {
        this.reportEnd(tracked, end);
      }
    }
  }

  private running(): readonly followedOrder.FollowedOrder[] {
    return [...this.byService.values()]
      .map(({followed}) => followed)
      .filter(({isRunning}) => isRunning);
  }

  /**
   * Instances report one after the other, and only while the order still
   * runs: all at once they would cost the store a write each.
   */
  private reportEnd(tracked: Tracked, end: routing.RolloutState): void {
    const {rank, report, clock} = this.options;
    const now = clock.now();
    tracked.reportAtMs ??= now + rank() * REPORT_STEP_MS;
    if (now < tracked.reportAtMs || tracked.isReporting) {
      return;
    }
    tracked.isReporting = true;
    const {followed} = tracked;
    void report(followed.order, end).then(isWritten => {
      this.options.log.belief('rollout_reported', {
        order: followed.name,
        end,
        isWritten,
        ageMs: Math.round(followed.ageMs),
      });
      tracked.isReporting = false;
      tracked.reportAtMs = clock.now() + REPORT_STEP_MS;
    });
  }
}
