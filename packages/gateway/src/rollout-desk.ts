/** Follows the roll-outs of services: shares, sessions, evidence, ends. */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as routing from '@amaranthknot/routing';
import * as orderEvidence from './order-evidence.js';
import * as versionLatencies from './version-latencies.js';

/** Which version of a service a request is to run on. */
export type VersionWish =
  | {readonly kind: 'any'}
  /** `fallback`: any other version may take it where that one cannot. */
  | {
      readonly kind: 'only';
      readonly accepts: (version: string) => boolean;
      readonly fallback: ((version: string) => boolean) | undefined;
      readonly concentration: VersionConcentration | undefined;
    };

/** Some of the upstreams of a version, the same ones on all instances. */
export interface VersionConcentration {
  /** Names the ranking by which they are chosen. */
  readonly key: string;
  /** Part of the version's upstreams; at least one is used. */
  readonly part: number;
}

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

/** Parts that the desk works with. */
export interface RolloutDeskOptions {
  readonly clock: ports.Clock;
  /** Names this start of this instance. */
  readonly incarnation: string;
  readonly sessionMs: number;
  readonly limit: decisions.ExposureLimit;
  /** Writes how an order ended; resolves to whether it was written. */
  readonly report: (
    order: routing.RolloutOrder,
    state: routing.RolloutState,
  ) => Promise<boolean>;
  /** Place of this instance in the order in which instances report. */
  readonly rank: () => number;
  readonly log: telemetry.DecisionLog;
}

/** Time between two instances' tries to report an end, in milliseconds. */
const REPORT_STEP_MS = 300;

/** Sessions remembered of one order. */
const MAX_PINNED = 2_000;

/** One order as this instance follows it. */
interface Following {
  order: routing.RolloutOrder;
  startedAtMs: number;
  verdict: decisions.VersionVerdict;
  readonly pinned: Set<number>;
  readonly evidence: orderEvidence.OrderEvidence;
  /** When this instance may report the end; undefined while there is none. */
  reportAtMs: number | undefined;
  isReporting: boolean;
}

const only = (accepts: (version: string) => boolean) =>
  ({
    kind: 'only',
    accepts,
    fallback: undefined,
    concentration: undefined,
  }) as const;

const nameOrder = (order: routing.RolloutOrder): string =>
  `${order.service}/${order.version}`;

/** The roll-outs of all services. */
export class RolloutDesk {
  private readonly byService = new Map<string, Following>();
  /** Latencies of versions in use, learnt also while no order runs. */
  private readonly latencies = new versionLatencies.VersionLatencies(work =>
    this.isOnTrial(work),
  );

  constructor(private readonly options: RolloutDeskOptions) {}

  /** Takes in the orders that the store holds. */
  takeOrders(orders: readonly routing.RolloutOrder[]): void {
    const services = new Set(orders.map(({service}) => service));
    for (const service of this.byService.keys()) {
      if (!services.has(service)) {
        this.byService.delete(service);
      }
    }
    for (const order of orders) {
      const known = this.byService.get(order.service);
      if (known && nameOrder(known.order) === nameOrder(order)) {
        known.order = order;
      } else {
        this.byService.set(order.service, this.follow(order));
        const {state, durationMs} = order;
        this.options.log.belief('rollout_followed', {
          order: nameOrder(order),
          state,
          durationMs,
        });
      }
    }
  }

  /** Which version a request is to run on. */
  chooseVersion(service: string, sessionKey: string): VersionWish {
    const following = this.byService.get(service);
    if (!following) {
      return {kind: 'any'};
    }
    const {order} = following;
    const isNew = (version: string) => version === order.version;
    const isOld = (version: string) => version !== order.version;
    switch (order.state) {
      case 'completed':
        return only(isNew);
      case 'rolled_back':
        return only(isOld);
      case 'running':
        return this.assign(following, sessionKey) === 'new'
          ? {
              ...only(isNew),
              fallback: isOld,
              concentration: this.findConcentration(following),
            }
          : only(isOld);
    }
  }

  /**
   * As many upstreams as the share is of the traffic, so that each carries
   * about as much as all will later. One alone would be overloaded, and a good
   * version be rolled back for it.
   */
  private findConcentration(
    following: Following,
  ): VersionConcentration | undefined {
    const outlook = this.outlookOf(following);
    return decisions.isConcentrated(outlook)
      ? {
          key: nameOrder(following.order),
          part: decisions.findRolloutShare(outlook),
        }
      : undefined;
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
    const order = this.byService.get(service)?.order;
    return order?.state === 'running' && order.version === version;
  }

  private count(
    work: versionLatencies.VersionWork,
    sign: orderEvidence.CountedSign,
  ): void {
    const following = this.byService.get(work.service);
    if (following?.order.state !== 'running') {
      return;
    }
    const side = this.isOnTrial(work) ? 'new' : 'old';
    following.evidence.count(work.route, side, sign);
    this.judge(following);
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
    return this.running().map(following => {
      const order = nameOrder(following.order);
      return {
        order,
        ageMs: this.ageOf(following),
        pinned: [...following.pinned].slice(known[order] ?? 0),
      };
    });
  }

  /** Sessions that this instance knows of each order that runs. */
  pinnedCounts(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.running().map(({order, pinned}) => [nameOrder(order), pinned.size]),
    );
  }

  /** Evidence on orders that run: all that is known, or this instance's own. */
  evidence(whose: 'all' | 'own' = 'all'): readonly protocol.OrderEvidence[] {
    return this.running().flatMap(({order, evidence}) =>
      evidence.rows(whose).map(row => ({order: nameOrder(order), ...row})),
    );
  }

  /** Evidence on orders that run, added up over instances. */
  evidenceSums(): readonly protocol.EvidenceSum[] {
    return this.running().flatMap(({order, evidence}) =>
      evidence.sums().map(sum => ({order: nameOrder(order), ...sum})),
    );
  }

  /** Takes in what a peer told. */
  merge(
    progress: readonly protocol.RolloutProgress[],
    evidence: readonly protocol.OrderEvidence[],
  ): void {
    for (const following of this.running()) {
      const name = nameOrder(following.order);
      this.takeProgress(following, progress);
      evidence
        .filter(({order}) => order === name)
        .forEach(row => {
          following.evidence.merge(row);
        });
      this.judge(following);
    }
  }

  /** Takes in sums that a watcher made over all instances. */
  takeSums(
    progress: readonly protocol.RolloutProgress[],
    sums: readonly protocol.EvidenceSum[],
  ): void {
    for (const following of this.running()) {
      const name = nameOrder(following.order);
      this.takeProgress(following, progress);
      const told = sums.filter(({order}) => order === name);
      following.evidence.takeSums(told, this.options.clock.now());
      this.judge(following);
    }
  }

  private takeProgress(
    following: Following,
    progress: readonly protocol.RolloutProgress[],
  ): void {
    const name = nameOrder(following.order);
    for (const heard of progress.filter(({order}) => order === name)) {
      const startedAtMs = this.options.clock.now() - heard.ageMs;
      // The first to see the order knows its age best.
      following.startedAtMs = Math.min(following.startedAtMs, startedAtMs);
      heard.pinned.forEach(session => this.pin(following, session));
    }
  }

  /** Reports ends that are due. */
  step(): void {
    for (const following of this.running()) {
      this.judge(following);
      const end = decisions.findRolloutEnd(
        this.timingOf(following),
        following.verdict,
      );
      if (end) {
        this.reportEnd(following, end);
      }
    }
  }

  private follow(order: routing.RolloutOrder): Following {
    return {
      order,
      startedAtMs: this.options.clock.now(),
      verdict: 'unclear',
      pinned: new Set(),
      evidence: new orderEvidence.OrderEvidence(this.options.incarnation),
      reportAtMs: undefined,
      isReporting: false,
    };
  }

  private running(): readonly Following[] {
    return [...this.byService.values()].filter(
      ({order}) => order.state === 'running',
    );
  }

  private evidenceOf({evidence}: Following): decisions.EvidenceByRoute {
    return evidence.current(this.options.clock.now());
  }

  private ageOf({startedAtMs}: Following): number {
    return this.options.clock.now() - startedAtMs;
  }

  private timingOf(following: Following): decisions.RolloutTiming {
    return {
      ageMs: this.ageOf(following),
      durationMs: following.order.durationMs,
      sessionMs: this.options.sessionMs,
    };
  }

  private outlookOf(following: Following): decisions.RolloutOutlook {
    const timing = this.timingOf(following);
    const {limit} = this.options;
    return {
      timing,
      verdict: following.verdict,
      limit,
      leadMs: decisions.findLeadMs(
        timing,
        decisions.sumEvidence(this.evidenceOf(following)),
        limit,
      ),
    };
  }

  private assign(
    following: Following,
    sessionKey: string,
  ): decisions.RolloutVersion {
    const timing = this.timingOf(following);
    const name = nameOrder(following.order);
    const hash = decisions.hashText(sessionKey);
    const isMoving = decisions.mayMoveSessions(timing);
    if (timing.ageMs < decisions.findHoldMs(timing.sessionMs)) {
      // Under way at the order, it must not change versions at first.
      const {share} = this.options.limit;
      const isNext = decisions.assignVersion(name, sessionKey, share);
      if (isNext === 'new') {
        this.pin(following, hash);
      }
      return 'old';
    }
    if (!isMoving && following.pinned.has(hash)) {
      return 'old';
    }
    const share = decisions.findRolloutShare(this.outlookOf(following));
    return decisions.assignVersion(name, sessionKey, share);
  }

  private pin({pinned}: Following, session: number): void {
    if (pinned.size < MAX_PINNED) {
      pinned.add(session);
    }
  }

  private judge(following: Following): void {
    if (following.verdict === 'bad') {
      return;
    }
    const verdict = decisions.judgeVersion(this.evidenceOf(following));
    if (verdict !== following.verdict) {
      following.verdict = verdict;
      const {new: n, old: o} = decisions.sumEvidence(
        this.evidenceOf(following),
      );
      this.options.log.belief('rollout_judged', {
        order: nameOrder(following.order),
        verdict,
        ageMs: Math.round(this.ageOf(following)),
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

  /**
   * Instances report one after the other, and only while the order still
   * runs: all at once they would cost the store a write each.
   */
  private reportEnd(following: Following, end: routing.RolloutState): void {
    const now = this.options.clock.now();
    const {rank, report} = this.options;
    following.reportAtMs ??= now + rank() * REPORT_STEP_MS;
    if (now < following.reportAtMs || following.isReporting) {
      return;
    }
    following.isReporting = true;
    void report(following.order, end).then(isWritten => {
      this.options.log.belief('rollout_reported', {
        order: nameOrder(following.order),
        end,
        isWritten,
        ageMs: Math.round(this.ageOf(following)),
      });
      following.isReporting = false;
      following.reportAtMs = this.options.clock.now() + REPORT_STEP_MS;
    });
  }
}
