/**
 * Places attempts of requests on upstreams: which of the available ones may
 * take a request, by region and rollout, and which is chosen.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import * as purify from 'purify-ts';
import type * as telemetry from '@amaranthknot/telemetry';
import * as callerRequest from './caller-request.js';
import * as placementRefusal from './placement-refusal.js';
import type * as peerForwarder from './peer-forwarder.js';
import type * as runContext from './run-context.js';
import type * as followedRollout from './followed-rollout.js';
import type * as rolloutTracker from './rollout-tracker.js';
import type * as upstreamAvailability from './upstream-availability.js';
import type * as upstreamCatalog from './upstream-catalog.js';
import type * as upstreamEnds from './upstream-ends.js';
import * as versionSelection from './version-selection.js';

/** What placement needs. */
export interface UpstreamPlacementOptions {
  readonly catalog: upstreamCatalog.UpstreamCatalog;
  readonly availability: upstreamAvailability.UpstreamAvailability;
  readonly picker: decisions.UpstreamPicker;
  readonly latencies: decisions.LatencyEstimates;
  readonly repeats: decisions.RepeatBudget;
  /** Called with each decision on a repeat. */
  readonly onRepeat: (
    purpose: runContext.SendPurpose,
    decision: decisions.RepeatDecision,
  ) => void;
  readonly rollouts: rolloutTracker.RolloutTracker;
  readonly forwarder: peerForwarder.PeerForwarder;
  readonly ends: upstreamEnds.UpstreamEnds;
  readonly quarantine: decisions.PartQuarantine;
  /** Whether no upstream of the service is reached. */
  readonly isLost: (service: string) => boolean;
  readonly now: () => number;
  /** Time since the list of upstreams was known to be complete, in ms. */
  readonly upstreamsAgeMs: () => number | undefined;
  readonly regionOf: (zone: string) => string | undefined;
}

/**
 * `Retry-After` of a request with a held part, in milliseconds: a hold ends
 * within seconds, or lasts for minutes.
 */
const QUARANTINE_RETRY_MS = 30_000;

type Known = upstreamCatalog.KnownUpstream;

/** Places the attempts of one instance. */
export class UpstreamPlacement {
  constructor(private readonly options: UpstreamPlacementOptions) {}

  /**
   * Places an attempt, unless no upstream may take it, or it would be a repeat
   * and the repeat budget that all instances share is spent. Where no upstream
   * can be reached, it goes to another instance.
   *
   * All kinds of sends come here, so that none carries a part of its prompt that
   * ends upstreams to the next one.
   */
  place(
    toPlace: runContext.PlacementRequest,
  ): purify.Either<runContext.PlacementRefusal, runContext.PlacedAttempt> {
    const {quarantine} = this.options;
    const {caller} = toPlace.request;
    const parts = callerRequest.findSharedPartIds(caller);
    const verdict = quarantine.judge(parts, caller.id);
    if (verdict === 'free') {
      return this.placeAnywhere(toPlace);
    }
    // An instance that a trial is forwarded to would not know it as one.
    if (verdict === 'held' || this.mayForward(toPlace)) {
      return purify.Left({
        reason: 'quarantined',
        waitMs: QUARANTINE_RETRY_MS,
        inputs: {heldParts: quarantine.findHeldParts(parts)},
      });
    }
    return this.placeDirectly(toPlace).map(attempt => {
      quarantine.beginTrial(parts, caller.id);
      return {
        ...attempt,
        inputs: {...attempt.inputs, isTrial: true},
        settle: outcome => {
          attempt.settle(outcome);
          quarantine.endTrial(caller.id);
        },
      };
    });
  }

  private mayForward({request, history}: runContext.PlacementRequest): boolean {
    return this.options.isLost(request.service.name) || history.hasUnreached;
  }

  private placeAnywhere(
    toPlace: runContext.PlacementRequest,
  ): purify.Either<runContext.PlacementRefusal, runContext.PlacedAttempt> {
    const {isLost, forwarder} = this.options;
    const {request} = toPlace;
    if (!isLost(request.service.name)) {
      return this.placeDirectly(toPlace);
    }
    const forwarded = forwarder.place(toPlace);
    switch (forwarded.kind) {
      case 'placed':
        return purify.Right(forwarded.attempt);
      case 'exhausted':
        return purify.Left(this.createRefusal('no_upstream', toPlace));
      case 'none':
        // The forwarding instance may know another one that has links.
        return request.forwarded
          ? purify.Left(this.createRefusal('no_upstream', toPlace))
          : this.placeDirectly(toPlace);
    }
  }

  private placeDirectly(
    toPlace: runContext.PlacementRequest,
  ): purify.Either<runContext.PlacementRefusal, runContext.PlacedAttempt> {
    const {picker} = this.options;
    const pickRequest = createPickRequest(toPlace);
    const version = this.chooseVersion(toPlace.request);
    const inService = this.findInService(toPlace, version);
    const candidates = this.findCandidates(inService, toPlace, version);
    const picked = picker.pick(candidates, pickRequest);
    const known = picked && this.options.catalog.find(picked.id);
    if (!known) {
      return this.placeElsewhere(toPlace);
    }
    const repeat = this.countSend(toPlace);
    const repeatInputs = describeRepeat(toPlace, repeat);
    if (repeat?.isGranted === false) {
      const refusal = this.createRefusal('no_budget', toPlace);
      const inputs = {...refusal.inputs, ...repeatInputs};
      return purify.Left({...refusal, inputs});
    }
    const attempt = this.beginAttempt(known, toPlace, pickRequest);
    const choice = this.describeChoice(known, candidates.length, toPlace);
    return purify.Right({...attempt, inputs: {...choice, ...repeatInputs}});
  }

  /** Forwards a request if some upstreams were out of reach, or refuses it. */
  private placeElsewhere(
    toPlace: runContext.PlacementRequest,
  ): purify.Either<runContext.PlacementRefusal, runContext.PlacedAttempt> {
    const forwarded = toPlace.history.hasUnreached
      ? this.options.forwarder.place(toPlace)
      : ({kind: 'none'} as const);
    return forwarded.kind === 'placed'
      ? purify.Right(forwarded.attempt)
      : purify.Left(this.createRefusal('no_upstream', toPlace));
  }

  private createRefusal(
    reason: runContext.PlacementRefusal['reason'],
    toPlace: runContext.PlacementRequest,
  ): runContext.PlacementRefusal {
    const version = this.chooseVersion(toPlace.request);
    return placementRefusal.createPlacementRefusal(reason, toPlace, {
      availability: this.options.availability,
      inService: this.findInService(toPlace, version),
      upstreamsAgeMs: this.findUpstreamsAgeMs(),
    });
  }

  private describeChoice(
    known: Known,
    candidates: number,
    {request, history}: runContext.PlacementRequest,
  ): telemetry.Details {
    const {upstream} = known;
    const limits = this.options.availability.describe(known, request.service);
    return {
      zone: upstream.zone,
      version: upstream.version,
      candidates,
      isRepeat: history.isRepeat,
      upstreamsAgeMs: this.findUpstreamsAgeMs(),
      parts: history.sends === 0 ? describeParts(request) : undefined,
      ...limits,
      ...this.options.picker.describe(upstream.id),
    };
  }

  private findUpstreamsAgeMs(): number {
    return Math.round(this.options.upstreamsAgeMs() ?? -1);
  }

  /**
   * A request is recorded once, and takes a repeat only if it had arrived.
   * Returns the decision on a repeat; undefined for other sends.
   */
  private countSend({
    request,
    purpose,
    history,
  }: runContext.PlacementRequest): decisions.RepeatDecision | undefined {
    const {repeats, onRepeat} = this.options;
    const {name} = request.service;
    const {isCounted, isRepeat} = history;
    if (isRepeat) {
      const decision = repeats.take(name);
      onRepeat(purpose, decision);
      return decision;
    }
    if (!isCounted) {
      repeats.recordRequest(name);
    }
    return undefined;
  }

  private chooseVersion({
    caller,
    service,
  }: runContext.AcceptedRequest): followedRollout.VersionChoice {
    return this.options.rollouts.chooseVersion(
      service.name,
      caller.session ?? caller.id,
    );
  }

  /** Upstreams in service, in regions and of versions that are allowed. */
  private findInService(
    {request}: runContext.PlacementRequest,
    version: followedRollout.VersionChoice,
  ): readonly Known[] {
    return this.options.availability
      .findInService(request.service.name)
      .filter(
        ({upstream}) =>
          this.isRegionAllowed(upstream, request) &&
          versionSelection.isVersionAllowed(upstream, version),
      );
  }

  private findCandidates(
    inService: readonly Known[],
    {request, excluded}: runContext.PlacementRequest,
    version: followedRollout.VersionChoice,
  ): readonly routing.Upstream[] {
    const {availability} = this.options;
    const usable = inService
      .filter(
        known =>
          !excluded.has(known.upstream.id) &&
          availability.findWaitReason(known, request.service) === undefined,
      )
      .map(({upstream}) => upstream);
    return versionSelection.selectByVersion(usable, version);
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

  /** Wait after which an answer is late, in milliseconds. */
  private findUsualWaitMs({
    service,
    route,
  }: runContext.AcceptedRequest): number {
    const {latencies} = this.options;
    return latencies.hedgeDelayMs(service.name, route.latencyTargetMs);
  }

  private beginAttempt(
    known: Known,
    toPlace: runContext.PlacementRequest,
    pickRequest: decisions.PickRequest,
  ): Omit<runContext.PlacedAttempt, 'inputs'> {
    const {upstream} = known;
    const {rollouts, availability} = this.options;
    const startedAtMs = this.options.now();
    availability.recordSend(known);
    const ticket = this.options.picker.start(upstream.id, pickRequest);
    const watch = this.options.ends.watch(upstream, describeWatched(toPlace));
    const requestClass = {
      service: toPlace.request.service.name,
      version: upstream.version,
      route: toPlace.request.route.name,
      isStream: toPlace.request.route.kind === 'stream',
      model: toPlace.model,
    };
    const timed = rollouts.beginAnswer(requestClass);
    const pace = new decisions.StreamPace();
    const recordPace = (paceMs: number | undefined) => {
      if (paceMs !== undefined) {
        rollouts.recordPace({...requestClass, paceMs});
      }
    };
    let firstByteMs: number | undefined;
    let isOpen = true;
    const recordEndOfWait = (outcome: runContext.AttemptOutcome) => {
      if (outcome === 'refused' || outcome === 'answered') {
        availability.recordAnswer(known);
      } else if (firstByteMs === undefined) {
        const waitedMs = this.options.now() - startedAtMs;
        availability.recordUnanswered(
          upstream,
          outcome,
          waitedMs,
          this.findUsualWaitMs(toPlace.request),
        );
      }
    };
    return {
      upstream,
      isInService: () => availability.isInService(upstream),
      recordBreak: watch.recordBreak,
      recordEvent: () => {
        watch.recordAnswer();
        availability.recordAlive(known);
        recordPace(pace.record(this.options.now()));
        timed?.recordEvent();
      },
      recordHead: connection => {
        const waitedMs = this.options.now() - startedAtMs;
        firstByteMs ??= waitedMs;
        timed?.recordFirstByte();
        availability.recordAnswer(known, connection && {waitedMs, connection});
        ticket.recordFirstByte();
      },
      settle: outcome => {
        ticket.end(outcome);
        // A stream is answered from its first event on.
        if (outcome === 'answered' && !requestClass.isStream) {
          watch.recordAnswer();
        }
        watch.settle();
        if (isOpen) {
          recordEndOfWait(outcome);
        }
        if (isOpen) {
          timed?.end(outcome);
        }
        if (isOpen && outcome === 'refused') {
          availability.recordRefusal(known);
        }
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

/** What a decision on a repeat depended on, for the log. */
const describeRepeat = (
  {purpose}: runContext.PlacementRequest,
  decision: decisions.RepeatDecision | undefined,
): telemetry.Details => {
  if (!decision) {
    return {};
  }
  const {budget, inputs} = decision;
  return {
    purpose,
    budget,
    ownRequests: inputs.ownRequests,
    ownRepeats: inputs.ownRepeats,
    ownLeft: roundToTenth(inputs.ownLeft),
    repeatSlack: roundToTenth(inputs.repeatSlack),
    fleetRequests: roundToTenth(inputs.fleetRequests),
    fleetRepeats: roundToTenth(inputs.fleetRepeats),
    fleetAgeMs: roundToTenth(inputs.fleetAgeMs),
    fleetKnownForMs: roundToTenth(inputs.fleetKnownForMs),
    unusedLeft: roundToTenth(inputs.unusedLeft),
  };
};

/** Rounds a number, if it is known. */
const roundToTenth = (value: number | undefined): number | undefined =>
  value === undefined ? undefined : Math.round(10 * value) / 10;

/** Maximum number of parts in one log line. */
const MAX_LOGGED_PARTS = 16;

const describeParts = ({
  caller: {generation},
}: runContext.AcceptedRequest): readonly string[] | undefined =>
  generation?.parts.slice(0, MAX_LOGGED_PARTS).map(({id}) => id);

const describeWatched = ({
  request: {caller, workspace},
}: runContext.PlacementRequest): upstreamEnds.WatchedAttempt => ({
  request: caller.id,
  parts: callerRequest.findSharedPartIds(caller),
  workspace: workspace?.name ?? '',
});

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
  const prefixParts = callerRequest.findSharedParts(generation);
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
