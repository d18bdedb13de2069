/**
 * Keeps the requests in progress at an upstream within what it holds, while the
 * upstream says that it fails if it has to refuse more than a few a second.
 *
 * Load: more requests than the upstreams of a service carry, from all instances
 * at once. Harm prevented: each instance learns from a refusal that an upstream
 * is full, so that together they make it refuse more than it bears, and do so
 * again when it is back. Instances divide the slots without messages; one that
 * has no slot left refuses at once. They forward the limit, and a new upstream
 * of the service counts as having named it until it answers. Pure: the clock is
 * an option.
 */
import * as announcedValues from './announced-values.js';
import * as instanceShare from './instance-share.js';

/** An upstream whose slots are divided. */
export interface SharedUpstream {
  readonly id: string;
  readonly startedAtMs: number;
  readonly service: string;
  /** Requests that it processes at a time. */
  readonly slots: number;
}

/** Options of `ConcurrencyShares`. */
export interface ConcurrencySharesOptions
  extends announcedValues.AnnouncedValuesOptions {
  /** Id of this instance. */
  readonly self: string;
  /**
   * Ids of the instances that may send requests of a service; undefined while
   * this one may not know all, and then has no slot.
   */
  readonly findInstances: (service: string) => readonly string[] | undefined;
  /** Service of an upstream; undefined if it is not registered. */
  readonly findService: (id: string) => string | undefined;
}

/** Cached share of this instance. */
interface Share {
  readonly atMs: number;
  readonly slots: number;
}

/** Time for which a share is cached, in milliseconds. */
const SHARE_CACHE_MS = 1_000;

const MS_PER_S = 1_000;

/** Longest pause after a refusal, in milliseconds. */
const MAX_PAUSE_MS = 3_000;

/** Shares of the upstreams that fail when they refuse too much. */
export class ConcurrencyShares {
  /** Refusals per second above which an upstream fails. */
  private readonly limits: announcedValues.AnnouncedValues;
  /** Start of each upstream that has answered this instance. */
  private readonly answeredStarts = new Map<string, number>();
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly shares = new Map<string, Share>();

  constructor(private readonly options: ConcurrencySharesOptions) {
    this.limits = new announcedValues.AnnouncedValues(options);
  }

  /**
   * Records an answer of an upstream.
   *
   * @param refusalsPerS refusals per second above which it says that it fails;
   *     undefined if it names none.
   */
  record(
    {id, startedAtMs}: SharedUpstream,
    refusalsPerS: number | undefined,
  ): void {
    this.answeredStarts.set(id, startedAtMs);
    this.limits.record(id, refusalsPerS);
  }

  /** Records that an upstream refused a request for want of room. */
  recordRefusal(upstream: SharedUpstream): void {
    const refusalsPerS = this.findLimit(upstream);
    if (refusalsPerS === undefined) {
      return;
    }
    const {now, findInstances} = this.options;
    const instances = findInstances(upstream.service)?.length ?? Infinity;
    const pauseMs = (instances * MS_PER_S) / Math.max(1, refusalsPerS);
    const untilMs = now() + Math.min(MAX_PAUSE_MS, pauseMs);
    this.pausedUntilMs.set(upstream.id, untilMs);
  }

  /** Merges the limits reported by another instance. */
  merge(reports: readonly announcedValues.ReportedValue[]): void {
    this.limits.merge(reports);
  }

  /** Limits to report to other instances now. */
  report(): readonly announcedValues.ReportedValue[] {
    return this.limits.report();
  }

  /**
   * Requests that this instance may have in progress at an upstream now;
   * undefined if the upstream's slots are not divided.
   */
  findCapacity(upstream: SharedUpstream): number | undefined {
    if (this.findLimit(upstream) === undefined) {
      return undefined;
    }
    return this.findWaitMs(upstream) > 0 ? 0 : this.findShare(upstream);
  }

  /** Time until the pause after a refusal ends, in milliseconds. */
  findWaitMs({id}: SharedUpstream): number {
    const untilMs = this.pausedUntilMs.get(id) ?? -Infinity;
    return Math.max(0, untilMs - this.options.now());
  }

  /** Drops the state of upstreams that are not in `ids` and have no limit. */
  retain(ids: ReadonlySet<string>): void {
    this.limits.retain(ids);
    for (const byId of [this.answeredStarts, this.pausedUntilMs, this.shares]) {
      for (const id of byId.keys()) {
        if (!ids.has(id) && this.limits.find(id) === undefined) {
          byId.delete(id);
        }
      }
    }
  }

  /**
   * The limit that an upstream named. Before its first answer, it is that of
   * another upstream of the service.
   */
  private findLimit({id, startedAtMs, service}: SharedUpstream) {
    const own = this.limits.find(id);
    if (own !== undefined || this.answeredStarts.get(id) === startedAtMs) {
      return own;
    }
    const sibling = this.limits.ids.find(
      other => this.options.findService(other) === service,
    );
    return sibling === undefined ? undefined : this.limits.find(sibling);
  }

  /** Cached, as computing it ranks all instances, which may be hundreds. */
  private findShare({id, service, slots}: SharedUpstream): number {
    const now = this.options.now();
    const known = this.shares.get(id);
    if (known && now - known.atMs < SHARE_CACHE_MS) {
      return known.slots;
    }
    const {self, findInstances} = this.options;
    const instances = findInstances(service);
    const share = instances
      ? instanceShare.findWholeShare(slots, id, self, instances)
      : 0;
    this.shares.set(id, {atMs: now, slots: share});
    return share;
  }
}
