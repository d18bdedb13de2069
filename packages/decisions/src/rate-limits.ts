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
import * as instanceShare from './instance-share.js';
import * as slidingCount from './sliding-count.js';

/** Options of `RateLimits`. */
export interface RateLimitsOptions {
  readonly now: () => number;
  /** Id of this instance. */
  readonly self: string;
  /** Ids of all live instances, this one included. */
  readonly findInstances: () => readonly string[];
  /** Called when a limit is set, changes significantly, or is lifted. */
  readonly onChange: (id: string, perSecond: number | undefined) => void;
}

/** Limit of an upstream as instances report it to each other. */
export interface ReportedLimit {
  readonly id: string;
  /** Requests a second; absent when the limit is lifted. */
  readonly perSecond?: number | undefined;
  /** Time since the upstream announced it, in milliseconds. */
  readonly ageMs: number;
}

/** Latest limit that an upstream announced. */
interface KnownLimit {
  /** Requests a second; undefined when the limit is lifted. */
  readonly perSecond: number | undefined;
  /** Time at which the upstream announced it. */
  readonly atMs: number;
  /** The limit at its last significant change. */
  readonly announcedPerSecond: number | undefined;
  /** Time at which this instance learned of that change. */
  readonly announcedAtMs: number;
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

/** Relative change of a limit from which it counts as significant. */
const SIGNIFICANT_CHANGE = 0.25;

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

/**
 * Time for which a significant change is reported, in milliseconds: a few
 * rounds of messages. All limits are reported again every `REPEAT_EVERY_MS`,
 * for `REPEAT_MS`, for instances that were cut off or have just started.
 * Reporting all of them in each message would exceed the message size allowed
 * between instances.
 */
const ANNOUNCE_MS = 3_000;
const REPEAT_EVERY_MS = 20_000;
const REPEAT_MS = 1_000;

/**
 * Age after which a limit expires, in milliseconds. Reports are repeated
 * several times within it, so for an older limit all later ones were lost.
 */
const EXPIRY_MS = 60_000;

/**
 * Time by which a report of another instance must be newer than what is known,
 * in milliseconds. The age in a report does not include its transmission, so an
 * own report that comes back would look newer.
 */
const MIN_NEWER_MS = 100;

/** Limits of all upstreams that announced one. */
export class RateLimits {
  private readonly knownLimits = new Map<string, KnownLimit>();
  private readonly sends = new Map<string, slidingCount.SlidingCount>();
  private readonly lastSendMs = new Map<string, number>();
  private readonly shares = new Map<string, Share>();

  constructor(private readonly options: RateLimitsOptions) {}

  /** Records the limit in an answer of an upstream; undefined for none. */
  record(id: string, perSecond: number | undefined): void {
    if (perSecond !== undefined || this.knownLimits.has(id)) {
      this.set(id, perSecond, this.options.now());
    }
  }

  /** Merges the limits reported by another instance. */
  merge(reports: readonly ReportedLimit[]): void {
    const now = this.options.now();
    for (const {id, perSecond, ageMs} of reports) {
      const atMs = now - ageMs;
      const known = this.knownLimits.get(id);
      const isNewer = !known || atMs - known.atMs > MIN_NEWER_MS;
      if (isNewer && (known || perSecond !== undefined)) {
        this.set(id, perSecond, atMs);
      }
    }
  }

  /** Limits to report to other instances now. */
  report(): readonly ReportedLimit[] {
    const now = this.options.now();
    const isRepeatDue = now % REPEAT_EVERY_MS < REPEAT_MS;
    return [...this.knownLimits].flatMap(
      ([id, {perSecond, atMs, announcedAtMs}]) => {
        const isNew = now - announcedAtMs <= ANNOUNCE_MS;
        const ageMs = Math.max(0, now - atMs);
        return isNew || isRepeatDue ? [{id, perSecond, ageMs}] : [];
      },
    );
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
      return this.sends.get(id)?.findWaitMs(now, requests) ?? 0;
    }
    const lastMs = this.lastSendMs.get(id) ?? -Infinity;
    return Math.max(0, lastMs + intervalMs - now);
  }

  /** Current limit of an upstream in requests a second, if it has one. */
  find(id: string): number | undefined {
    const known = this.knownLimits.get(id);
    const isKnown = known && this.options.now() - known.atMs <= EXPIRY_MS;
    return isKnown ? known.perSecond : undefined;
  }

  /**
   * Drops the state of upstreams that are not in `ids` and have no limit. One
   * with a limit is kept until that expires, because its entry may lapse and
   * return, and the limit holds meanwhile.
   */
  retain(ids: ReadonlySet<string>): void {
    for (const byId of [
      this.knownLimits,
      this.sends,
      this.lastSendMs,
      this.shares,
    ]) {
      for (const id of byId.keys()) {
        if (!ids.has(id) && this.find(id) === undefined) {
          byId.delete(id);
        }
      }
    }
  }

  private set(id: string, perSecond: number | undefined, atMs: number): void {
    const before = this.knownLimits.get(id);
    if (before && !isSignificantChange(before.announcedPerSecond, perSecond)) {
      this.knownLimits.set(id, {...before, perSecond, atMs});
      return;
    }
    const announcedAtMs = this.options.now();
    this.knownLimits.set(id, {
      perSecond,
      atMs,
      announcedPerSecond: perSecond,
      announcedAtMs,
    });
    this.options.onChange(id, perSecond);
  }

  /** Cached, as computing it ranks all instances, which may be hundreds. */
  private findShare(id: string, perSecond: number, now: number): Share {
    const known = this.shares.get(id);
    if (known?.perSecond === perSecond && now - known.atMs < SHARE_CACHE_MS) {
      return known;
    }
    const {self, findInstances} = this.options;
    const total = Math.max(1, (perSecond * WINDOW_MS) / MS_PER_S);
    const requests = instanceShare.findInstanceShare(
      total,
      id,
      self,
      findInstances(),
    );
    const share = {atMs: now, perSecond, requests};
    this.shares.set(id, share);
    return share;
  }
}

/** Time between two requests at a rate, bounded, in milliseconds. */
const findSendIntervalMs = (perSecond: number): number =>
  Math.min(MAX_SEND_INTERVAL_MS, MS_PER_S / perSecond);

const isSignificantChange = (
  before: number | undefined,
  after: number | undefined,
): boolean =>
  before === undefined || after === undefined
    ? before !== after
    : Math.abs(after - before) > SIGNIFICANT_CHANGE * before;
