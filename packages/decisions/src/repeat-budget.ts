/**
 * Limits the repeats of all instances together, relative to the requests that
 * they sent within the window in which operators count. A repeat is any further
 * sending of a request: a retry, or a run of the capable model after the cheap
 * one.
 *
 * Load: instances that each see a few requests a second, of which every other
 * one needs a second, more capable model; upstreams that fail under all of
 * them; callers that move meanwhile, and instances that are restarted. Harm
 * prevented: repeats that multiply the load of failing upstreams; and repeats
 * that are refused although the fleet is far below its limit.
 *
 * A repeat is taken from two sources:
 *
 * - the allowance, which an instance's own requests fill as they come, and which
 *   it keeps for a short time. It needs no messages, so it is never refused for
 *   what others did. The allowances of all instances are well below the limit,
 *   whoever has the callers;
 * - what all instances leave unused of the limit, as far as it is known, less
 *   what their allowances may still need. Each takes no more than its part within
 *   the time in which the others learn of it. An instance that hasn't heard of
 *   the others lately, or doesn't know all sends of the window, takes nothing.
 *
 * No instance repeats more than the ratio of its own requests within the window
 * and its share of the slack.
 */
import type * as fleetSends from './fleet-sends.js';
import * as repeatAllowance from './repeat-allowance.js';
import * as slidingCount from './sliding-count.js';
import * as unusedRepeats from './unused-repeats.js';

/** Options of `RepeatBudget`. */
export interface RepeatBudgetOptions {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  readonly now: () => number;
  /** The sends of all instances. */
  readonly fleet: fleetSends.FleetSends;
}

/** Repeats allowed on top of the ratio, within the window. */
export interface RepeatSlack {
  /** Those of all instances together. */
  readonly total: number;
  /** This instance's share of them. */
  readonly share: number;
}

/** What a repeat was granted from, or which bound refused it. */
export type RepeatSource =
  /** The allowance. */
  | 'own'
  /** What all instances leave unused. */
  | 'unused'
  /** This instance's own requests within the window. */
  | 'window';

/** What a decision on a repeat depends on, over the window that ends now. */
export interface RepeatInputs {
  /** First sends of this instance. */
  readonly ownRequests: number;
  /** Repeats that this instance was granted. */
  readonly ownRepeats: number;
  /** Repeats that are left of its allowance. */
  readonly ownLeft: number;
  /** Its share of the repeats allowed on top of the ratio. */
  readonly repeatSlack: number;
  /** First sends of all instances; undefined if none has told. */
  readonly fleetRequests: number | undefined;
  /** Repeats of all instances; undefined if none has told. */
  readonly fleetRepeats: number | undefined;
  /** Time since another instance last told of its sends, in ms. */
  readonly fleetAgeMs: number | undefined;
  /** For how long all sends are known, in ms. */
  readonly fleetKnownForMs: number | undefined;
  /** Its part of what all instances leave unused. */
  readonly unusedLeft: number;
}

/** A decision on a repeat, and what it depends on. */
export interface RepeatDecision {
  readonly isGranted: boolean;
  readonly budget: RepeatSource;
  readonly inputs: RepeatInputs;
}

/** Fractions that add up to 1 may sum to slightly less in floating point. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Fraction of the ratio that a request adds to the allowance of its instance:
 * more than callers need while nothing fails.
 */
const ALLOWANCE_FRACTION = 0.8;

/**
 * Time within which all instances learn of a repeat, in milliseconds. What they
 * take of the unused part within it may be more than is left, so that each takes
 * no more than its part of it.
 */
const TOLD_WITHIN_MS = 1_500;

interface Counts {
  readonly requests: slidingCount.SlidingCount;
  readonly repeats: slidingCount.SlidingCount;
  readonly allowance: repeatAllowance.RepeatAllowance;
  /** What was lately taken of the unused part. */
  readonly takenUnused: slidingCount.SlidingSum;
}

/** Repeat budget of one instance, kept separately for each service. */
export class RepeatBudget {
  private readonly byService = new Map<string, Counts>();
  private slack: RepeatSlack = {total: 0, share: 0};
  /** Repeats that a request adds to the allowance. */
  private readonly allowancePerRequest: number;

  constructor(private readonly options: RepeatBudgetOptions) {
    this.allowancePerRequest = ALLOWANCE_FRACTION * options.ratio;
  }

  /** Sets the repeats that are allowed on top of the ratio. */
  setSlack(slack: RepeatSlack): void {
    this.slack = slack;
  }

  /**
   * Whether a repeat is available.
   *
   * @param reserve fraction of the slack, 0 to 1, that must remain afterwards.
   */
  hasRepeat(service: string, reserve = 0): boolean {
    return this.decide(service, reserve).isGranted;
  }

  /** Records the first sending of a request. */
  recordRequest(service: string): void {
    const counts = this.countsOf(service);
    const {now, fleet} = this.options;
    counts.requests.add(now());
    counts.allowance.earn();
    fleet.recordOwn(service, {requests: 1, repeats: 0});
  }

  /** Takes one repeat from the budget if one is left. */
  take(service: string): RepeatDecision {
    const decision = this.decide(service, 0);
    if (decision.isGranted) {
      this.recordRepeat(service);
    }
    return decision;
  }

  private recordRepeat(service: string): void {
    const counts = this.countsOf(service);
    const {now, fleet} = this.options;
    const fromOwn = counts.allowance.take();
    if (fromOwn < 1) {
      counts.takenUnused.add(1 - fromOwn, now());
    }
    counts.repeats.add(now());
    fleet.recordOwn(service, {requests: 0, repeats: 1});
  }

  private decide(service: string, reserve: number): RepeatDecision {
    const inputs = this.readInputs(service, reserve);
    const needed = 1 - ROUNDING_TOLERANCE;
    const {ownLeft, unusedLeft} = inputs;
    if (this.findWindowLeft(inputs) < needed + reserve * this.slack.share) {
      return {isGranted: false, budget: 'window', inputs};
    }
    const isGranted = ownLeft + unusedLeft >= needed;
    const budget = ownLeft < needed ? 'unused' : 'own';
    return {isGranted, budget, inputs};
  }

  /** What this instance's own requests within the window leave. */
  private findWindowLeft({
    ownRequests,
    ownRepeats,
  }: Pick<RepeatInputs, 'ownRequests' | 'ownRepeats'>): number {
    return this.slack.share + this.options.ratio * ownRequests - ownRepeats;
  }

  private readInputs(service: string, reserve: number): RepeatInputs {
    const counts = this.countsOf(service);
    const at = this.options.now();
    const ownRequests = counts.requests.count(at);
    const ownRepeats = counts.repeats.count(at);
    const known = this.options.fleet.find(service);
    // Instances of a release that tells no sends know no other bound.
    const unusedLeft = this.options.fleet.isToldNothing
      ? this.findWindowLeft({ownRequests, ownRepeats})
      : this.findUnusedLeft(known, ownRequests, counts, reserve);
    return {
      ownRequests,
      ownRepeats,
      ownLeft: counts.allowance.left,
      repeatSlack: this.slack.share,
      fleetRequests: known?.requests,
      fleetRepeats: known?.repeats,
      fleetAgeMs: known?.ageMs,
      fleetKnownForMs: known?.knownForMs,
      unusedLeft,
    };
  }

  /**
   * This instance's part of what all leave unused, as large as its part of all
   * requests.
   */
  private findUnusedLeft(
    known: fleetSends.KnownSends | undefined,
    ownRequests: number,
    {allowance, takenUnused}: Counts,
    reserve: number,
  ): number {
    const {ratio, windowMs, now} = this.options;
    if (!known || known.ageMs > TOLD_WITHIN_MS || ownRequests === 0) {
      return 0;
    }
    const unused = unusedRepeats.findUnusedRepeats(known, {
      ratio,
      allowance: this.allowancePerRequest,
      slack: (1 - reserve) * this.slack.total,
      windowMs,
    });
    const taken = takenUnused.sum(now());
    const part = Math.min(1, ownRequests / known.requests);
    // What it has saved may be sent before the others know, as what it took.
    const ownPart = part * (unused + taken) - taken - allowance.left;
    return Math.max(0, ownPart);
  }

  private countsOf(service: string): Counts {
    const known = this.byService.get(service);
    if (known) {
      return known;
    }
    const {windowMs, now} = this.options;
    const created = {
      requests: new slidingCount.SlidingCount(windowMs),
      repeats: new slidingCount.SlidingCount(windowMs),
      allowance: new repeatAllowance.RepeatAllowance({
        perRequest: this.allowancePerRequest,
        now,
      }),
      takenUnused: new slidingCount.SlidingSum(TOLD_WITHIN_MS),
    };
    this.byService.set(service, created);
    return created;
  }
}
