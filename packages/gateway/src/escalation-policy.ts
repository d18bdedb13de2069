/** Whether a capable model runs after a cheap one, by what engines bear. */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import * as callerRequest from './caller-request.js';
import type * as runContext from './run-context.js';
import type * as upstreamCatalog from './upstream-catalog.js';

/** Parts that the choice works with. */
export interface EscalationPolicyOptions {
  readonly now: () => number;
  readonly catalog: upstreamCatalog.UpstreamCatalog;
  readonly picker: decisions.UpstreamPicker;
  readonly repeats: decisions.RepeatBudget;
  readonly isZoneOut: (zone: string) => boolean;
}

/**
 * Part of the saved repeats that is left for broken answers: a second opinion
 * is worth less than an answer that would be lost.
 */
const REPEAT_RESERVE_FRACTION = 0.25;

/** Whether the capable model runs, and what that was decided by. */
export interface EscalationDecision {
  /** What the cheap model thinks of its answer, 0 to 100. */
  readonly confidence: number;
  /** How dear the capable model is now, 1 and more. */
  readonly scarcity: number;
  /** Whether enough repeats are left. */
  readonly hasBudget: boolean;
  readonly runs: boolean;
}

interface Meters {
  readonly waits: decisions.ScarcityMeter;
  readonly reading: decisions.PrefillBacklog;
}

/** What one instance knows of the capable models of all services. */
export class EscalationPolicy {
  private readonly meters = new Map<string, Meters>();

  constructor(private readonly options: EscalationPolicyOptions) {}

  /** Judges whether the capable model should run after the cheap one. */
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
    const stake = {
      promptTokens,
      maxTokens,
      expectedTokens: callerRequest.estimateAnswerTokens(generation),
      capablePrice: model.cost,
    };
    const runs = decisions.shouldEscalate(confidence, stake, scarcity);
    return {confidence, scarcity, hasBudget, runs};
  }

  /** Notes the wait for a first token of `model`, in vain or not. */
  recordWait(
    {caller, route, service}: runContext.AcceptedRequest,
    model: string | undefined,
    waitMs: number,
    timedOut: boolean,
  ): void {
    if (model === undefined || model !== route.models.at(-1)) {
      return;
    }
    const {waits, reading} = this.metersOf(service);
    waits.record(waitMs, route.latencyTargetMs, this.options.now());
    if (!timedOut) {
      const tokens = caller.generation?.promptTokens ?? 0;
      reading.record(tokens, waitMs, this.options.now());
    }
  }

  /** How dear the capable models of a service are now, 1 and more. */
  private findScarcity(
    service: routing.Service,
    {latencyTargetMs}: routing.Route,
  ): number {
    const {now, catalog, picker, isZoneOut} = this.options;
    const {waits, reading} = this.metersOf(service);
    const usable = catalog
      .all()
      .map(({upstream}) => upstream)
      .filter(
        ({service: name, state, zone}) =>
          name === service.name && state === 'ready' && !isZoneOut(zone),
      );
    const waiting = picker.sumWaitingTokens(usable.map(({id}) => id));
    const backlogMs = reading.waitMs(waiting, usable.length, now());
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
      reading: new decisions.PrefillBacklog(),
    };
    this.meters.set(name, created);
    return created;
  }
}
