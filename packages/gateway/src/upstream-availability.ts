/**
 * Which upstreams may take requests of a service, and why others may not for
 * now: backoff, cold start, rate limit, no slot left. All kinds of sends ask here, so that
 * none passes by what an upstream asked for.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as upstreamCatalog from './upstream-catalog.js';

/** What availability is decided from. */
export interface UpstreamAvailabilityOptions {
  readonly catalog: upstreamCatalog.UpstreamCatalog;
  readonly limits: decisions.RateLimits;
  readonly backoffs: decisions.UpstreamBackoffs;
  readonly leaving: decisions.LeavingNotices;
  readonly concurrency: decisions.ConcurrencyShares;
  readonly coldStarts: decisions.ColdStarts;
  readonly absenceSigns: decisions.AbsenceSigns;
  readonly absences: decisions.UpstreamAbsences;
  /** Requests that this instance has in progress at an upstream. */
  readonly inFlightOf: (id: string) => number;
  readonly now: () => number;
  /** Whether operators have taken a zone out of use. */
  readonly isZoneOut: (zone: string) => boolean;
  /** Requests a second that this instance may send to a cold upstream. */
  readonly coldShare: (
    upstream: routing.Upstream,
    service: routing.Service,
  ) => number;
}

/** Why an upstream takes no request for now, although it is in service. */
export type WaitReason = 'backing_off' | 'cold' | 'limited' | 'at_capacity';

/**
 * Window over which requests to a cold upstream are counted, in milliseconds.
 * Slightly over a second, because requests that were sent more than a second
 * apart may arrive within one second.
 */
const COLD_WINDOW_MS = 1_100;

/** Time for which a share is cached, in milliseconds. */
const SHARE_CACHE_MS = 500;

interface CachedShare {
  readonly atMs: number;
  /** The rate that it was computed from. */
  readonly perSecond: number;
  readonly share: number;
}

type Known = upstreamCatalog.KnownUpstream;

/** Availability of the upstreams that one instance knows. */
export class UpstreamAvailability {
  private readonly coldSends = new Map<string, decisions.SlidingCount>();
  private readonly coldShares = new Map<string, CachedShare>();

  constructor(private readonly options: UpstreamAvailabilityOptions) {}

  /**
   * Upstreams of a service, without those in zones out and those that are
   * leaving by their entry or by an answer.
   */
  findInService(service: string): readonly Known[] {
    return this.options.catalog
      .all()
      .filter(
        ({upstream}) => upstream.service === service && this.isReady(upstream),
      );
  }

  /** Whether an upstream that was chosen before is still in service. */
  isInService({id, startedAtMs}: routing.Upstream): boolean {
    const known = this.options.catalog.find(id)?.upstream;
    return known?.startedAtMs === startedAtMs && this.isReady(known);
  }

  private isReady(upstream: routing.Upstream): boolean {
    const {leaving, isZoneOut} = this.options;
    return (
      upstream.state === 'ready' &&
      !leaving.has(upstream) &&
      !isZoneOut(upstream.zone)
    );
  }

  /** Why an upstream takes no request now; undefined if it takes one. */
  findWaitReason(
    known: Known,
    service: routing.Service,
  ): WaitReason | undefined {
    const {backoffs, limits} = this.options;
    if (backoffs.findRemainingMs(known.upstream) > 0) {
      return 'backing_off';
    }
    if (this.findColdWaitMs(known, service) !== 0) {
      return 'cold';
    }
    if (!limits.maySend(known.upstream.id)) {
      return 'limited';
    }
    return this.hasSlot(known) ? undefined : 'at_capacity';
  }

  /**
   * Whether an upstream takes a health check beside its requests. A cold one
   * takes none, as it counts the check as another request.
   */
  takesHealthCheck(known: Known, service: routing.Service): boolean {
    const {coldStarts, now} = this.options;
    const isCold = now() < coldStarts.findUntilMs(known.upstream);
    return !isCold && this.findWaitReason(known, service) === undefined;
  }

  /**
   * Time until an upstream takes a request of this instance, in ms; 0 if it
   * takes one now, undefined if other instances have all of what it takes, or
   * if this one has to wait for an answer.
   */
  findWaitMs(known: Known, service: routing.Service): number | undefined {
    const {backoffs, limits, concurrency} = this.options;
    const coldMs = this.findColdWaitMs(known, service);
    const limitedMs = limits.findWaitMs(known.upstream.id);
    const pausedMs = concurrency.findWaitMs(known.upstream);
    const isUnknown = pausedMs === 0 && !this.hasSlot(known);
    return coldMs === undefined || limitedMs === undefined || isUnknown
      ? undefined
      : Math.max(
          backoffs.findRemainingMs(known.upstream),
          coldMs,
          limitedMs,
          pausedMs,
        );
  }

  /** Records a request that is sent to an upstream. */
  recordSend(known: Known): void {
    this.recordColdSend(known);
    this.options.limits.recordSend(known.upstream.id);
  }

  /** Records that an upstream has begun to answer. */
  recordAnswer(known: Known, arrival?: decisions.AnswerArrival): void {
    this.recordAlive(known, arrival);
    this.options.absences.recordAnswer(known.upstream);
  }

  /** Records a part of an answer of an upstream. */
  recordAlive({upstream}: Known, arrival?: decisions.AnswerArrival): void {
    this.options.absenceSigns.recordAnswer(upstream.id, arrival);
    this.options.absences.recordAlive(upstream);
  }

  /**
   * Records the end of an attempt at an upstream that sent nothing back, see
   * `AbsenceSigns`.
   */
  recordUnanswered(
    upstream: routing.Upstream,
    outcome: decisions.UnansweredOutcome,
    waitedMs: number,
    usualWaitMs: number,
  ): void {
    const {absenceSigns, absences} = this.options;
    const {id} = upstream;
    if (absenceSigns.recordUnanswered(id, outcome, waitedMs, usualWaitMs)) {
      absences.recordOwn(upstream);
    }
  }

  /** Records that an upstream has not answered a request for `forMs`. */
  recordSilence(upstream: routing.Upstream, forMs: number): void {
    if (this.options.absenceSigns.isSilent(upstream.id, forMs)) {
      this.options.absences.recordOwn(upstream);
    }
  }

  /** Records that an upstream refused a request for want of room. */
  recordRefusal({upstream}: Known): void {
    this.options.concurrency.recordRefusal(upstream);
  }

  /** Whether this instance may have another request in progress there. */
  private hasSlot({upstream}: Known): boolean {
    const {concurrency, inFlightOf} = this.options;
    const capacity = concurrency.findCapacity(upstream);
    return capacity === undefined || inFlightOf(upstream.id) < capacity;
  }

  /** What limits the use of an upstream now, for the log. */
  describe(
    {upstream}: Known,
    service: routing.Service,
  ): decisions.ColdDescription & {
    readonly coldShare: number | undefined;
    readonly limitPerS: number | undefined;
    readonly backoffMs: number | undefined;
    readonly capacity: number | undefined;
  } {
    const {limits, backoffs, concurrency, coldStarts} = this.options;
    const cold = coldStarts.describe(upstream);
    const backoffMs = Math.round(backoffs.findRemainingMs(upstream));
    return {
      ...cold,
      coldShare: cold.isCold
        ? this.findColdShare(upstream, service)
        : undefined,
      limitPerS: limits.find(upstream.id),
      backoffMs: backoffMs > 0 ? backoffMs : undefined,
      capacity: concurrency.findCapacity(upstream),
    };
  }

  /** Undefined if other instances have all of its cold capacity. */
  private findColdWaitMs(
    {upstream}: Known,
    service: routing.Service,
  ): number | undefined {
    const now = this.options.now();
    const coldUntilMs = this.options.coldStarts.findUntilMs(upstream);
    if (now >= coldUntilMs || service.coldPerSecond === 0) {
      return 0;
    }
    const share = this.findColdShare(upstream, service);
    if (share < 1) {
      return undefined;
    }
    const waitMs = this.coldSends.get(upstream.id)?.findWaitMs(now, share) ?? 0;
    return Math.min(waitMs, coldUntilMs - now);
  }

  /** Cached, as computing it ranks all instances, which may be hundreds. */
  private findColdShare(
    upstream: routing.Upstream,
    service: routing.Service,
  ): number {
    const atMs = this.options.now();
    const perSecond = service.coldPerSecond;
    const known = this.coldShares.get(upstream.id);
    if (known?.perSecond === perSecond && atMs - known.atMs < SHARE_CACHE_MS) {
      return known.share;
    }
    const share = this.options.coldShare(upstream, service);
    this.coldShares.set(upstream.id, {atMs, perSecond, share});
    return share;
  }

  private recordColdSend({upstream}: Known): void {
    const now = this.options.now();
    const coldUntilMs = this.options.coldStarts.findUntilMs(upstream);
    this.options.coldStarts.recordSend(upstream);
    if (now >= coldUntilMs) {
      this.coldSends.delete(upstream.id);
      this.coldShares.delete(upstream.id);
      return;
    }
    const sends =
      this.coldSends.get(upstream.id) ??
      new decisions.SlidingCount(COLD_WINDOW_MS);
    this.coldSends.set(upstream.id, sends);
    sends.add(now);
  }
}
