/** Follows the roll-outs of services: shares, sessions, evidence, ends. */
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as routing from '@amaranthknot/routing';

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

/** What ran: answers of the same service, route and model are alike. */
export interface VersionWork {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isStream: boolean;
  /** The model that ran; undefined where there is no choice of one. */
  readonly model: string | undefined;
}

/** The pace of one stream. */
export interface PaceSign extends VersionWork {
  /** Mean pause between its first events. */
  readonly paceMs: number;
}

/** One finished try, as far as it tells something about its version. */
export interface VersionSign extends VersionWork {
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

/**
 * A stream's pace, and the first byte of a plain answer, count as slow at this
 * many times the median of the old version's answers of the same route and
 * model. On a day of high load one stream in nine took over three times the
 * median, and of a new version's, whose caches fill, three in ten; a bad
 * version's streams took four to fifteen times.
 */
const SLOW_FACTOR = 4;

/**
 * The same for the first byte of a stream. The first prompts of a new version
 * find nothing kept at its upstreams and wait for each other: four of its five
 * first answers took over three times the median, and a good version was
 * rolled back. A slow one shows by its pace as well.
 */
const SLOW_STREAM_FACTOR = 8;

/**
 * Routes of one order whose answers are counted apart; bounds the messages
 * between instances. Answers of further routes count together.
 */
const MAX_ROUTES = 8;

/** Name under which answers of further routes are counted. */
const OTHER_ROUTES = '*';

/** Time for which a watcher's sums count, in ms: some of its answers. */
const TOLD_MS = 1_500;

/** Name under which sums over all instances are kept. */
const TOLD_NAME = 'all';

/** One order as this instance follows it. */
interface Following {
  order: routing.RolloutOrder;
  startedAtMs: number;
  verdict: decisions.VersionVerdict;
  readonly pinned: Set<number>;
  /** Counts by route and instance: own ones, and those that peers told. */
  readonly evidence: Map<string, decisions.EvidenceByInstance>;
  /** Sums over all instances that a watcher told. */
  told:
    | {readonly atMs: number; readonly evidence: decisions.EvidenceByRoute}
    | undefined;
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

/** Names work whose latencies are about the same. */
const nameWork = ({service, route, model}: VersionWork): string =>
  `${service}/${route}/${model ?? ''}`;

type Counting = Partial<Record<keyof decisions.VersionCounts, number>>;

const nameOrder = (order: routing.RolloutOrder): string =>
  `${order.service}/${order.version}`;

/** The roll-outs of all services. */
export class RolloutDesk {
  private readonly byService = new Map<string, Following>();
  /** First bytes of versions in use, also while no order runs. */
  private readonly firstBytes = new decisions.UsualLatency();
  /** Paces of their streams. */
  private readonly paces = new decisions.UsualLatency();

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
   * about as much as all will later. One alone, of 42, got four times that,
   * was overloaded, and a good version was rolled back.
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
    const {firstByteMs, isStream} = sign;
    const factor = isStream ? SLOW_STREAM_FACTOR : SLOW_FACTOR;
    const isSlow =
      firstByteMs !== undefined &&
      this.isBeyondUsual(this.firstBytes, sign, firstByteMs, factor);
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
    const {paceMs} = sign;
    const isDragging = this.isBeyondUsual(
      this.paces,
      sign,
      paceMs,
      SLOW_FACTOR,
    );
    this.count(sign, {paced: 1, dragging: isDragging ? 1 : 0});
  }

  /** Whether a latency is far beyond what is usual; learns the usual ones. */
  private isBeyondUsual(
    usual: decisions.UsualLatency,
    work: VersionWork,
    latencyMs: number,
    factor: number,
  ): boolean {
    const name = nameWork(work);
    const usualMs = usual.medianMs(name);
    if (!this.isOnTrial(work)) {
      usual.note(name, latencyMs);
    }
    return usualMs !== undefined && latencyMs > factor * usualMs;
  }

  /** Whether the version is one that an order brings in now. */
  private isOnTrial({service, version}: VersionWork): boolean {
    const order = this.byService.get(service)?.order;
    return order?.state === 'running' && order.version === version;
  }

  private count(work: VersionWork, counting: Counting): void {
    const following = this.byService.get(work.service);
    if (following?.order.state !== 'running') {
      return;
    }
    const {evidence} = following;
    const isApart = evidence.has(work.route) || evidence.size < MAX_ROUTES;
    const route = isApart ? work.route : OTHER_ROUTES;
    const side = this.isOnTrial(work) ? 'new' : 'old';
    const {incarnation} = this.options;
    const ofRoute = evidence.get(route) ?? {};
    const before = ofRoute[incarnation] ?? decisions.NO_EVIDENCE;
    const after = {
      ...before,
      [side]: decisions.addCounts(before[side], counting),
    };
    evidence.set(route, {...ofRoute, [incarnation]: after});
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
    const {incarnation: self} = this.options;
    return this.running().flatMap(({order, evidence}) =>
      [...evidence].flatMap(([route, ofRoute]) =>
        Object.entries(ofRoute)
          .filter(([incarnation]) => whose === 'all' || incarnation === self)
          .map(([incarnation, counts]) => ({
            order: nameOrder(order),
            incarnation,
            route,
            ...counts,
          })),
      ),
    );
  }

  /** Evidence on orders that run, added up over instances. */
  evidenceSums(): readonly protocol.EvidenceSum[] {
    return this.running().flatMap(({order, evidence}) =>
      [...evidence].map(([route, ofRoute]) => ({
        order: nameOrder(order),
        route,
        ...decisions.findNewEvidence({}, ofRoute),
      })),
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
      for (const heard of evidence.filter(({order}) => order === name)) {
        const known = following.evidence.get(heard.route) ?? {};
        const merged = decisions.mergeEvidence(known, {
          [heard.incarnation]: {old: heard.old, new: heard.new},
        });
        following.evidence.set(heard.route, merged);
      }
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
      following.told = {
        atMs: this.options.clock.now(),
        evidence: new Map(
          told.map(({route, old, new: fresh}) => [
            route,
            {[TOLD_NAME]: {old, new: fresh}},
          ]),
        ),
      };
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

  /**
   * What is known of an order's versions: a watcher's sums while it tells
   * them, which count this instance's answers too, else what peers told.
   */
  private evidenceOf({told, evidence}: Following): decisions.EvidenceByRoute {
    const isTold =
      told !== undefined && this.options.clock.now() - told.atMs <= TOLD_MS;
    return isTold ? told.evidence : evidence;
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
      evidence: new Map(),
      told: undefined,
      reportAtMs: undefined,
      isReporting: false,
    };
  }

  private running(): readonly Following[] {
    return [...this.byService.values()].filter(
      ({order}) => order.state === 'running',
    );
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
