/**
 * Places attempts of requests on upstreams: which of the available ones may
 * take a request, by region and rollout, and which is chosen.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import * as purify from 'purify-ts';
import type * as telemetry from '@amaranthknot/telemetry';
import * as callerRequest from './caller-request.js';
import type * as runContext from './run-context.js';
import type * as followedRollout from './followed-rollout.js';
import type * as rolloutTracker from './rollout-tracker.js';
import type * as upstreamAvailability from './upstream-availability.js';
import type * as upstreamCatalog from './upstream-catalog.js';

/** What placement needs. */
export interface UpstreamPlacementOptions {
  readonly catalog: upstreamCatalog.UpstreamCatalog;
  readonly availability: upstreamAvailability.UpstreamAvailability;
  readonly picker: decisions.UpstreamPicker;
  readonly repeats: decisions.RepeatBudget;
  readonly rollouts: rolloutTracker.RolloutTracker;
  readonly now: () => number;
  /** Time since the list of upstreams was known to be complete, in ms. */
  readonly upstreamsAgeMs: () => number | undefined;
  readonly regionOf: (zone: string) => string | undefined;
}

type Known = upstreamCatalog.KnownUpstream;

/** Places the attempts of one instance. */
export class UpstreamPlacement {
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
    const inService = this.findInService(toPlace);
    const candidates = this.findCandidates(inService, toPlace);
    const picked = picker.pick(candidates, pickRequest);
    const known = picked && this.options.catalog.find(picked.id);
    const refuse = (reason: runContext.PlacementRefusal['reason']) =>
      purify.Left({reason, inputs: this.describeRefusal(inService, toPlace)});
    if (!known) {
      return refuse('no_upstream');
    }
    if (!this.takeRepeat(toPlace)) {
      return refuse('no_budget');
    }
    const attempt = this.beginAttempt(known, toPlace, pickRequest);
    const inputs = this.describeChoice(known, candidates.length, toPlace);
    return purify.Right({...attempt, inputs});
  }

  private describeChoice(
    known: Known,
    candidates: number,
    {isRepeat}: runContext.PlacementRequest,
  ): telemetry.Details {
    const {upstream} = known;
    const {isCold, limitPerS, backoffMs} =
      this.options.availability.describe(known);
    return {
      zone: upstream.zone,
      version: upstream.version,
      candidates,
      isRepeat,
      isCold,
      upstreamsAgeMs: this.findUpstreamsAgeMs(),
      limitPerS,
      backoffMs,
      ...this.options.picker.describe(upstream.id),
    };
  }

  /** How many upstreams there are, and why how many of them are ruled out. */
  private describeRefusal(
    inService: readonly Known[],
    {request, excluded}: runContext.PlacementRequest,
  ): telemetry.Details {
    const {availability} = this.options;
    const reasons = inService.map(known =>
      availability.findWaitReason(known, request.service),
    );
    const countReason = (reason: upstreamAvailability.WaitReason): number =>
      reasons.filter(found => found === reason).length;
    return {
      inService: inService.length,
      excluded: inService.filter(({upstream}) => excluded.has(upstream.id))
        .length,
      backingOff: countReason('backing_off'),
      cold: countReason('cold'),
      limited: countReason('limited'),
      upstreamsAgeMs: this.findUpstreamsAgeMs(),
    };
  }

  private findUpstreamsAgeMs(): number {
    return Math.round(this.options.upstreamsAgeMs() ?? -1);
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

  /** Upstreams in service in the regions that the request allows. */
  private findInService({
    request,
  }: runContext.PlacementRequest): readonly Known[] {
    return this.options.availability
      .findInService(request.service.name)
      .filter(({upstream}) => this.isRegionAllowed(upstream, request));
  }

  private findCandidates(
    inService: readonly Known[],
    {request, excluded}: runContext.PlacementRequest,
  ): readonly routing.Upstream[] {
    const {availability, rollouts} = this.options;
    const {caller, service} = request;
    const usable = inService
      .filter(
        known =>
          !excluded.has(known.upstream.id) &&
          availability.findWaitReason(known, service) === undefined,
      )
      .map(({upstream}) => upstream);
    const version = rollouts.chooseVersion(
      service.name,
      caller.session ?? caller.id,
    );
    if (version.kind === 'any') {
      return usable;
    }
    const {accepts, fallback, subset} = version;
    const accepted = usable.filter(upstream => accepts(upstream.version));
    if (accepted.length > 0 && subset) {
      return selectSubset(accepted, subset);
    }
    return accepted.length > 0 || !fallback
      ? accepted
      : usable.filter(upstream => fallback(upstream.version));
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

  private beginAttempt(
    known: Known,
    toPlace: runContext.PlacementRequest,
    pickRequest: decisions.PickRequest,
  ): Omit<runContext.PlacedAttempt, 'inputs'> {
    const {upstream} = known;
    const {rollouts} = this.options;
    const startedAtMs = this.options.now();
    this.options.availability.recordSend(known);
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
