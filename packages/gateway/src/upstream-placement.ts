/**
 * Places attempts of requests on upstreams: which ones may take a request, by
 * state, zone, region, rate limit, cold start and rollout, and which is chosen.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import * as purify from 'purify-ts';
import type * as telemetry from '@amaranthknot/telemetry';
import * as callerRequest from './caller-request.js';
import type * as runContext from './run-context.js';
import type * as followedRollout from './followed-rollout.js';
import type * as rolloutTracker from './rollout-tracker.js';
import type * as upstreamCatalog from './upstream-catalog.js';

/** What placement needs. */
export interface UpstreamPlacementOptions {
  readonly catalog: upstreamCatalog.UpstreamCatalog;
  readonly picker: decisions.UpstreamPicker;
  readonly repeats: decisions.RepeatBudget;
  readonly limits: decisions.RateLimits;
  readonly rollouts: rolloutTracker.RolloutTracker;
  readonly now: () => number;
  /** Time since the list of upstreams was known to be complete, in ms. */
  readonly upstreamsAgeMs: () => number | undefined;
  /** Whether operators have taken a zone out of use. */
  readonly isZoneOut: (zone: string) => boolean;
  readonly regionOf: (zone: string) => string | undefined;
  /** Requests a second that this instance may send to a cold upstream. */
  readonly coldShare: (
    upstream: routing.Upstream,
    service: routing.Service,
  ) => number;
}

/**
 * Window over which requests to a cold upstream are counted, in milliseconds.
 * Slightly over a second, because requests that were sent more than a second
 * apart may arrive within one second.
 */
const COLD_WINDOW_MS = 1_100;

type Known = upstreamCatalog.KnownUpstream;

/** Places the attempts of one instance. */
export class UpstreamPlacement {
  private readonly coldSends = new Map<string, decisions.SlidingCount>();

  constructor(private readonly options: UpstreamPlacementOptions) {}

  /**
   * Places an attempt, unless no upstream may take it, or it would be a repeat
   * and the repeat budget that all instances share is spent.
   */
  place(
    toPlace: runContext.PlacementRequest,
  ): purify.Either<runContext.PlacementRefusal, runContext.PlacedAttempt> {
    const {picker} = this.options;
    const pickRequest = createPickRequest(toPlace);
    const candidates = this.findCandidates(toPlace);
    const picked = picker.pick(candidates, pickRequest);
    const known = picked && this.options.catalog.find(picked.id);
    if (!known) {
      return purify.Left('no_upstream');
    }
    if (!this.takeRepeat(toPlace)) {
      return purify.Left('no_budget');
    }
    const attempt = this.beginAttempt(known, toPlace, pickRequest);
    const inputs = this.describeChoice(known, candidates.length, toPlace);
    return purify.Right({...attempt, inputs});
  }

  private describeChoice(
    {upstream, coldUntilMs}: Known,
    candidates: number,
    {isRepeat}: runContext.PlacementRequest,
  ): telemetry.Details {
    return {
      zone: upstream.zone,
      version: upstream.version,
      candidates,
      isRepeat,
      isCold: this.options.now() < coldUntilMs,
      upstreamsAgeMs: Math.round(this.options.upstreamsAgeMs() ?? -1),
      limitPerS: this.options.limits.find(upstream.id),
      ...this.options.picker.describe(upstream.id),
    };
  }

  private takeRepeat({request, isRepeat}: runContext.PlacementRequest) {
    const {repeats} = this.options;
    const {name} = request.service;
    if (isRepeat) {
      return repeats.take(name);
    }
    repeats.recordRequest(name);
    return true;
  }

  private findCandidates(
    toPlace: runContext.PlacementRequest,
  ): readonly routing.Upstream[] {
    const usable = this.options.catalog
      .all()
      .filter(known => this.isCandidate(known, toPlace));
    const {caller, service} = toPlace.request;
    const version = this.options.rollouts.chooseVersion(
      service.name,
      caller.session ?? caller.id,
    );
    if (version.kind === 'any') {
      return usable.map(({upstream}) => upstream);
    }
    const {accepts, fallback, subset} = version;
    const accepted = usable
      .map(({upstream}) => upstream)
      .filter(upstream => accepts(upstream.version));
    if (accepted.length > 0 && subset) {
      return selectSubset(accepted, subset);
    }
    return accepted.length > 0 || !fallback
      ? accepted
      : usable
          .map(({upstream}) => upstream)
          .filter(upstream => fallback(upstream.version));
  }

  private isCandidate(
    {upstream, coldUntilMs}: Known,
    {request, excluded}: runContext.PlacementRequest,
  ): boolean {
    const {isZoneOut} = this.options;
    return (
      upstream.service === request.service.name &&
      upstream.state === 'ready' &&
      !excluded.has(upstream.id) &&
      !isZoneOut(upstream.zone) &&
      this.isRegionAllowed(upstream, request) &&
      this.hasColdCapacity(upstream, coldUntilMs, request.service) &&
      this.options.limits.maySend(upstream.id)
    );
  }

  private isRegionAllowed(
    upstream: routing.Upstream,
    {route, workspace}: runContext.AcceptedRequest,
  ): boolean {
    const regionLists = [route.allowedRegions, workspace?.allowedRegions ?? []];
    return regionLists.every(
      regions =>
        regions.length === 0 ||
        regions.includes(this.options.regionOf(upstream.zone) ?? ''),
    );
  }

  private hasColdCapacity(
    upstream: routing.Upstream,
    coldUntilMs: number,
    service: routing.Service,
  ): boolean {
    const now = this.options.now();
    if (now >= coldUntilMs || service.coldPerSecond === 0) {
      return true;
    }
    const sent = this.coldSends.get(upstream.id)?.count(now) ?? 0;
    return sent < this.options.coldShare(upstream, service);
  }

  private beginAttempt(
    known: Known,
    toPlace: runContext.PlacementRequest,
    pickRequest: decisions.PickRequest,
  ): Omit<runContext.PlacedAttempt, 'inputs'> {
    const {upstream} = known;
    const {rollouts} = this.options;
    const startedAtMs = this.options.now();
    this.recordColdSend(known, startedAtMs);
    this.options.limits.recordSend(upstream.id);
    const ticket = this.options.picker.start(upstream.id, pickRequest);
    const requestClass = {
      service: toPlace.request.service.name,
      version: upstream.version,
      route: toPlace.request.route.name,
      isStream: toPlace.request.route.kind === 'stream',
      model: toPlace.model,
    };
    const pace = new decisions.StreamPace();
    const recordPace = (paceMs: number | undefined) => {
      if (paceMs !== undefined) {
        rollouts.recordPace({...requestClass, paceMs});
      }
    };
    let firstByteMs: number | undefined;
    let isOpen = true;
    return {
      upstream,
      recordEvent: () => {
        recordPace(pace.record(this.options.now()));
      },
      recordHead: () => {
        firstByteMs ??= this.options.now() - startedAtMs;
        ticket.recordFirstByte();
      },
      settle: outcome => {
        ticket.end(outcome);
        if (isOpen && (outcome === 'answered' || outcome === 'failed')) {
          recordPace(pace.take());
          rollouts.recordAttempt({
            ...requestClass,
            isError: outcome === 'failed',
            firstByteMs,
          });
        }
        isOpen = false;
      },
    };
  }

  private recordColdSend({upstream, coldUntilMs}: Known, now: number): void {
    if (now >= coldUntilMs) {
      this.coldSends.delete(upstream.id);
      return;
    }
    const sends =
      this.coldSends.get(upstream.id) ??
      new decisions.SlidingCount(COLD_WINDOW_MS);
    this.coldSends.set(upstream.id, sends);
    sends.add(now);
  }
}

const selectSubset = (
  upstreams: readonly routing.Upstream[],
  {key, fraction}: followedRollout.UpstreamSubset,
): readonly routing.Upstream[] => {
  const ids = upstreams.map(({id}) => id);
  const count = Math.max(1, Math.ceil(fraction * ids.length));
  const first = decisions.rankByRendezvous(key, ids, count);
  return upstreams.filter(({id}) => first.includes(id));
};

/** Weight of a model's tokens: its price over that of the dearest model. */
const promptWeightOf = (
  model: string | undefined,
  engine: routing.Engine | undefined,
): number => {
  const prices = engine?.models.map(({cost}) => cost) ?? [];
  const price = engine?.models.find(({name}) => name === model)?.cost;
  const maxPrice = Math.max(...prices, 0);
  return price === undefined || maxPrice === 0 ? 1 : price / maxPrice;
};

const createPickRequest = (
  toPlace: runContext.PlacementRequest,
): decisions.PickRequest => {
  const {caller, service} = toPlace.request;
  const {generation} = caller;
  if (!generation) {
    return {
      promptTokens: 0,
      answerTokens: 0,
      prefixTokens: 0,
      prefixKey: undefined,
    };
  }
  const weight = promptWeightOf(toPlace.model, service.engine);
  // The last part is specific to the request or its session.
  const prefixParts = generation.parts.slice(0, -1);
  const prefixTokens = prefixParts.reduce((sum, {tokens}) => sum + tokens, 0);
  const prefixKey =
    prefixParts.length === 0
      ? undefined
      : `${toPlace.model ?? ''}/${prefixParts.map(({id}) => id).join('/')}`;
  const {models} = toPlace.request.route;
  const isCapable = toPlace.model === models.at(-1);
  return {
    promptTokens: generation.promptTokens * weight,
    answerTokens: callerRequest.estimateAnswerTokens(generation) * weight,
    prefixTokens: prefixTokens * weight,
    prefixKey,
    ...(models.length < 2 ? {} : {tier: isCapable ? 'capable' : 'cheap'}),
  };
};
