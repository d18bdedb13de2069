/**
 * Keeps the sum of all instances' requests to an upstream within the rate that
 * it names.
 *
 * Load: an upstream in need that still answers, among others that take more.
 * Harm prevented: each instance knows little of what the others send, keeps
 * the rate by itself, and together they send as many times the rate as there
 * are instances. Shares need no message; what was named last goes from
 * instance to instance with its age, so that those keep it that the upstream
 * has not told, and all know when it is lifted. Pure: time is an argument.
 */
import * as instanceShare from './instance-share.js';
import * as slidingCount from './sliding-count.js';

/** Settings of the limits. */
export interface RateLimitsOptions {
  readonly now: () => number;
  /** Name of this instance. */
  readonly self: string;
  /** Names of all instances that live, this one included. */
  readonly findInstances: () => readonly string[];
  /** Called when an upstream names a limit, another one, or none any more. */
  readonly onChange: (id: string, perSecond: number | undefined) => void;
}

/** What an instance tells others of an upstream's limit. */
export interface ReportedLimit {
  readonly id: string;
  /** Requests a second; absent where it is lifted. */
  readonly perSecond?: number | undefined;
  /** Time since the upstream said so, in milliseconds. */
  readonly ageMs: number;
}

/** What an upstream said last. */
interface KnownLimit {
  /** Requests a second; undefined where it is lifted. */
  readonly perSecond: number | undefined;
  readonly atMs: number;
  /** The limit as it was when it was news last. */
  readonly announcedPerSecond: number | undefined;
  /** When it was news here. */
  readonly announcedAtMs: number;
}

/** This instance's share of a limit, as worked out last. */
interface Share {
  readonly atMs: number;
  readonly perSecond: number;
  readonly requests: number;
}

/** Part of a limit by which it changes before that is told as news. */
const SIGNIFICANT_CHANGE = 0.25;

/** Time over which the requests to an upstream are counted, in milliseconds. */
const WINDOW_MS = 4_000;

const MS_PER_S = 1_000;

/**
 * Longest time between two requests to an upstream however low its limit is,
 * in milliseconds: only an answer says that the limit is lifted.
 */
const MAX_SEND_INTERVAL_MS = 10_000;

/** Time for which a share is kept, in milliseconds. */
const SHARE_CACHE_MS = 1_000;

/**
 * Time for which others are told of a change, in milliseconds: some rounds of
 * messages. Unchanged limits are told again now and then, for instances that
 * were cut off or have just started; all of them in each message would take
 * more than what instances may tell each other.
 */
const ANNOUNCE_MS = 3_000;
const REPEAT_EVERY_MS = 20_000;
const REPEAT_MS = 1_000;

/**
 * Time after which what an upstream said is forgotten, in milliseconds: as
 * often as it is told again, it was lost on the way.
 */
const EXPIRY_MS = 60_000;

/**
 * Time by which word from another instance must be newer, in milliseconds: its
 * way here is not part of its age, and word that comes back would look newer.
 */
const MIN_NEWER_MS = 100;

/** Limits of all upstreams that named one. */
export class RateLimits {
  private readonly knownLimits = new Map<string, KnownLimit>();
  private readonly sends = new Map<string, slidingCount.SlidingCount>();
  private readonly lastSendMs = new Map<string, number>();
  private readonly shares = new Map<string, Share>();

  constructor(private readonly options: RateLimitsOptions) {}

  /** Notes what an answer of an upstream says; undefined: no limit. */
  record(id: string, perSecond: number | undefined): void {
    if (perSecond !== undefined || this.knownLimits.has(id)) {
      this.set(id, perSecond, this.options.now());
    }
  }

  /** Takes in what another instance tells. */
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

  /** What this instance tells others. */
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

  /** Notes that a request is sent to an upstream. */
  recordSend(id: string): void {
    const now = this.options.now();
    const sends =
      this.sends.get(id) ?? new slidingCount.SlidingCount(WINDOW_MS);
    this.sends.set(id, sends);
    sends.add(now);
    this.lastSendMs.set(id, now);
  }

  /** Whether this instance may send one more request to an upstream now. */
  maySend(id: string): boolean {
    const perSecond = this.find(id);
    if (perSecond === undefined) {
      return true;
    }
    const now = this.options.now();
    const {requests} = this.findShare(id, perSecond, now);
    const intervalMs = findSendIntervalMs(perSecond);
    const sent =
      intervalMs > WINDOW_MS
        ? Number(now - (this.lastSendMs.get(id) ?? -Infinity) < intervalMs)
        : (this.sends.get(id)?.count(now) ?? 0);
    return sent < requests;
  }

  /** Requests a second that an upstream takes; undefined: it names no limit. */
  find(id: string): number | undefined {
    const known = this.knownLimits.get(id);
    const isKnown = known && this.options.now() - known.atMs <= EXPIRY_MS;
    return isKnown ? known.perSecond : undefined;
  }

  /** Forgets upstreams that are no longer there. */
  retain(ids: ReadonlySet<string>): void {
    for (const byId of [
      this.knownLimits,
      this.sends,
      this.lastSendMs,
      this.shares,
    ]) {
      for (const id of byId.keys()) {
        if (!ids.has(id)) {
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

  /** Kept for a while: hundreds of instances would be ranked for each request. */
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

/** Time between two requests at a rate, in milliseconds. */
const findSendIntervalMs = (perSecond: number): number =>
  Math.min(MAX_SEND_INTERVAL_MS, MS_PER_S / perSecond);

const isSignificantChange = (
  before: number | undefined,
  after: number | undefined,
): boolean =>
  before === undefined || after === undefined
    ? before !== after
    : Math.abs(after - before) > SIGNIFICANT_CHANGE * before;
