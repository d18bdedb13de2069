/**
 * Decides whether the capable model runs after the cheap one.
 *
 * As the engines of capable models fill up, fewer answers are escalated: an
 * escalation then takes capacity from other requests.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import * as callerRequest from './caller-request.js';
import type * as runContext from './run-context.js';
import type * as upstreamAvailability from './upstream-availability.js';

/** What the policy needs. */
export interface EscalationPolicyOptions {
  readonly now: () => number;
  readonly availability: upstreamAvailability.UpstreamAvailability;
  readonly picker: decisions.UpstreamPicker;
  readonly repeats: decisions.RepeatBudget;
}

/**
 * Fraction of the repeat budget that is reserved for broken answers: an
 * escalation is worth less than an answer that would be lost.
 */
const REPEAT_RESERVE_FRACTION = 0.25;

/** Whether the capable model runs, and the inputs of the decision. */
export interface EscalationDecision {
  /** The cheap model's confidence in its answer, 0 to 100. */
  readonly confidence: number;
  /** How scarce the capable model is now, 1 or more. */
  readonly scarcity: number;
  /** Whether the repeat budget allows another run. */
  readonly hasBudget: boolean;
  readonly runs: boolean;
}

interface Meters {
  readonly waits: decisions.ScarcityMeter;
  readonly prefill: decisions.PrefillBacklog;
}

/** Decides on escalations from the load of capable models, by service. */
export class EscalationPolicy {
  private readonly meters = new Map<string, Meters>();

  constructor(private readonly options: EscalationPolicyOptions) {}

  /** Decides whether the capable model runs after the cheap one. */
  decide(
    {caller, service, route}: runContext.AcceptedRequest,
    capable: string | undefined,
    confidence: number,
  ): EscalationDecision {
    const {generation} = caller;
    const model = service.engine?.models.find(({name}) => name === capable);
    const hasBudget = this.options.repeats.hasRepeat(
      service.name,
      REPEAT_RESERVE_FRACTION,
    );
    const scarcity = this.findScarcity(service, route);
    if (!generation || !model || !hasBudget) {
      return {confidence, scarcity, hasBudget, runs: false};
    }
    const {promptTokens, maxTokens} = generation;
    const profile = {
      promptTokens,
      maxTokens,
      expectedTokens: callerRequest.estimateAnswerTokens(generation),
      capablePrice: model.cost,
    };
    const runs = decisions.shouldEscalate(confidence, profile, scarcity);
    return {confidence, scarcity, hasBudget, runs};
  }

  /** Records a wait for the first token of `model`, also a timed-out one. */
  recordWait(
    {caller, route, service}: runContext.AcceptedRequest,
    model: string | undefined,
    waitMs: number,
    timedOut: boolean,
  ): void {
    if (model === undefined || model !== route.models.at(-1)) {
      return;
    }
    const {waits, prefill} = this.metersOf(service);
    waits.record(waitMs, route.latencyTargetMs, this.options.now());
    if (!timedOut) {
      const tokens = caller.generation?.promptTokens ?? 0;
      prefill.record(tokens, waitMs, this.options.now());
    }
  }

  /** How scarce the capable models of a service are now, 1 or more. */
  private findScarcity(
    service: routing.Service,
    {latencyTargetMs}: routing.Route,
  ): number {
    const {now, availability, picker} = this.options;
    const {waits, prefill} = this.metersOf(service);
    const ids = availability
      .findInService(service.name)
      .map(({upstream}) => upstream.id);
    const waiting = picker.sumWaitingTokens(ids);
    const backlogMs = prefill.waitMs(waiting, ids.length, now());
    return Math.max(
      waits.value(now()),
      decisions.scarcityOfBacklog(backlogMs, latencyTargetMs),
    );
  }

  private metersOf({name}: routing.Service): Meters {
    const known = this.meters.get(name);
    if (known) {
      return known;
    }
    const created = {
      waits: new decisions.ScarcityMeter(),
      prefill: new decisions.PrefillBacklog(),
    };
    this.meters.set(name, created);
    return created;
  }
}
