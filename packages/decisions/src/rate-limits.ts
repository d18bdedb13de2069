/**
 * Keeps the total rate of requests from all instances to an upstream within
 * the limit that the upstream announces.
 *
 * Load: an overloaded upstream that still answers, next to others with spare
 * capacity. Harm prevented: each instance keeps the limit by itself, and
 * together they send as many times the limit as there are instances. Instances
 * compute their shares without messages. They forward the latest limit with
 * its age, so that those that the upstream did not answer keep it too, and all
 * learn when it is lifted. Pure: the clock is an option.
 */
import * as announcedValues from './announced-values.js';
import * as instanceShare from './instance-share.js';
import * as slidingCount from './sliding-count.js';

/** Options of `RateLimits`. */
export interface RateLimitsOptions
  extends announcedValues.AnnouncedValuesOptions {
  /** Id of this instance. */
  readonly self: string;
  /**
   * Ids of all instances that may send, this one included; undefined while it
   * may not know all, and then sends nothing to a limited upstream.
   */
  readonly findInstances: () => readonly string[] | undefined;
}

/** Cached share of a limit for this instance. */
interface Share {
  /** Time at which it was computed. */
  readonly atMs: number;
  /** The limit that it was computed from. */
  readonly perSecond: number;
  /** Requests that this instance may send in one window. */
  readonly requests: number;
}

/** Window in which requests to an upstream are counted, in milliseconds. */
const WINDOW_MS = 4_000;

const MS_PER_S = 1_000;

/**
 * Maximum time between two requests to an upstream, however low its limit is,
 * in milliseconds: only an answer can say that the limit is lifted.
 */
const MAX_SEND_INTERVAL_MS = 10_000;

/** Time for which a share is cached, in milliseconds. */
const SHARE_CACHE_MS = 1_000;

/** Limits of all upstreams that announced one. */
export class RateLimits {
  private readonly limits: announcedValues.AnnouncedValues;
  private readonly sends = new Map<string, slidingCount.SlidingCount>();
  private readonly lastSendMs = new Map<string, number>();
  private readonly shares = new Map<string, Share>();
  private readonly startedAtMs: number;

  constructor(private readonly options: RateLimitsOptions) {
    this.startedAtMs = options.now();
    this.limits = new announcedValues.AnnouncedValues(options);
  }

  /** Records the limit in an answer of an upstream; undefined for none. */
  record(id: string, perSecond: number | undefined): void {
    this.limits.record(id, perSecond);
  }

  /** Merges the limits reported by another instance. */
  merge(reports: readonly announcedValues.ReportedValue[]): void {
    this.limits.merge(reports);
  }

  /** Limits to report to other instances now. */
  report(): readonly announcedValues.ReportedValue[] {
    return this.limits.report();
  }

  /** Records a request sent to an upstream. */
  recordSend(id: string): void {
    const now = this.options.now();
    const sends =
      this.sends.get(id) ?? new slidingCount.SlidingCount(WINDOW_MS);
    this.sends.set(id, sends);
    sends.add(now);
    this.lastSendMs.set(id, now);
  }

  /** Whether this instance may send another request to an upstream now. */
  maySend(id: string): boolean {
    return this.findWaitMs(id) === 0;
  }

  /**
   * Time until this instance may send another request to an upstream, in ms;
   * undefined if other instances have all of its limit.
   */
  findWaitMs(id: string): number | undefined {
    const perSecond = this.find(id);
    if (perSecond === undefined) {
      return 0;
    }
    const now = this.options.now();
    const {requests} = this.findShare(id, perSecond, now);
    if (requests < 1) {
      return undefined;
    }
    const intervalMs = findSendIntervalMs(perSecond);
    if (intervalMs <= WINDOW_MS) {
      return this.findWindowWaitMs(id, requests, now);
    }
    const lastMs = this.lastSendMs.get(id) ?? -Infinity;
    return Math.max(0, lastMs + intervalMs - now);
  }

  /**
   * Time until a window has room for another request. In its first window an
   * instance has its share only as the window passes: an earlier process of it
   * may have used the whole.
   */
  private findWindowWaitMs(id: string, requests: number, now: number): number {
    const uptimeMs = now - this.startedAtMs;
    const sent = this.sends.get(id);
    const sentInWindow = sent?.count(now) ?? 0;
    const startWaitMs = ((sentInWindow + 1) * WINDOW_MS) / requests - uptimeMs;
    const roomWaitMs = sent?.findWaitMs(now, requests) ?? 0;
    return uptimeMs < WINDOW_MS
      ? Math.max(0, startWaitMs, roomWaitMs)
      : roomWaitMs;
  }

  /** Current limit of an upstream in requests a second, if it has one. */
  find(id: string): number | undefined {
    return this.limits.find(id);
  }

  /**
   * Drops the state of upstreams that are not in `ids` and have no limit, see
   * `AnnouncedValues`.
   */
  retain(ids: ReadonlySet<string>): void {
    this.limits.retain(ids);
    for (const byId of [this.sends, this.lastSendMs, this.shares]) {
      for (const id of byId.keys()) {
        if (!ids.has(id) && this.find(id) === undefined) {
          byId.delete(id);
        }
      }
    }
  }

  /** Cached, as computing it ranks all instances, which may be hundreds. */
  private findShare(id: string, perSecond: number, now: number): Share {
    const known = this.shares.get(id);
    if (known?.perSecond === perSecond && now - known.atMs < SHARE_CACHE_MS) {
      return known;
    }
    const {self, findInstances} = this.options;
    const instances = findInstances();
    const total = Math.max(1, (perSecond * WINDOW_MS) / MS_PER_S);
    const requests = instances
      ? instanceShare.findInstanceShare(total, id, self, instances)
      : 0;
    const share = {atMs: now, perSecond, requests};
    this.shares.set(id, share);
    return share;
  }
}

/** Time between two requests at a rate, bounded, in milliseconds. */
const findSendIntervalMs = (perSecond: number): number =>
  Math.min(MAX_SEND_INTERVAL_MS, MS_PER_S / perSecond);
