/**
 * Shares out the little that a cold upstream bears among all entry instances.
 *
 * Load: an upstream in cold start that every one of a thousand instances
 * would like to use. Harm prevented: each sending the little that one may,
 * which together makes the upstream fall over. One instance issues grants for
 * an upstream, the one that ranks first for it; a grant is a number of slots
 * for a short term, and the slots issued never add up to more than the
 * upstream bears.
 */
import * as rendezvous from './rendezvous.js';

/** What an upstream bears while it warms up. */
export interface WarmUpCurve {
  /** Work at once that the cold upstream bears, at least 1. */
  readonly coldSlots: number;
  /** Work at once when warm. */
  readonly fullSlots: number;
  /** Time from cold to warm, in milliseconds. */
  readonly warmMs: number;
}

/** Times that instances agree on, in milliseconds. */
export interface WarmUpTiming {
  /** How long a grant allows new work to start. */
  readonly termMs: number;
  /** How long work that a grant started may last after the grant's end. */
  readonly drainMs: number;
  /** How late an instance may learn of another's coming or leaving. */
  readonly viewLagMs: number;
}

/** Named defaults: a term is two round trips and a pause; work is cut off. */
export const WARM_UP_TIMING: WarmUpTiming = {
  termMs: 1_000,
  drainMs: 10_000,
  viewLagMs: 3_000,
};

/** Slots issued to one instance. */
export interface IssuedGrant {
  readonly instance: string;
  readonly slots: number;
  /** Work that the instance had in progress when it asked. */
  readonly inFlight: number;
  /** When new work on the grant ends. */
  readonly endsAtMs: number;
  /** Until then its slots are kept from others. */
  readonly heldUntilMs: number;
}

/** What the issuer knows of one upstream. */
export interface WarmUpIssuer {
  readonly coldSinceMs: number;
  /** Until then an earlier issuer's grants may be in use. */
  readonly quietUntilMs: number;
  readonly grants: readonly IssuedGrant[];
}

/** An instance asks for slots. */
export interface GrantRequest {
  readonly instance: string;
  readonly wanted: number;
  readonly inFlight: number;
}

/** Answer to a request: slots for `termMs` from when the request was sent. */
export interface Grant {
  readonly slots: number;
  readonly termMs: number;
}

/** Work at once that an upstream bears, cold for `ageMs`. */
export const findWarmUpSlots = (curve: WarmUpCurve, ageMs: number): number => {
  const progress = Math.min(1, Math.max(0, ageMs / curve.warmMs));
  const grown = (curve.fullSlots - curve.coldSlots) * progress;
  return Math.floor(curve.coldSlots + grown);
};

/** What an instance believes about the others. */
export interface MembershipView {
  /** Live instances, this one included. */
  readonly instances: readonly string[];
  /** When the view was last confirmed, by the platform or most peers. */
  readonly confirmedAtMs: number;
  /** Since when this instance is a member. */
  readonly memberSinceMs: number;
}

/**
 * Whether `self` may issue grants for an upstream. An instance that nobody
 * may know yet, or whose view is old, doesn't: another could believe itself
 * first at the same time, and both would issue the whole bound.
 */
export const mayIssueGrants = (
  upstream: string,
  self: string,
  view: MembershipView,
  nowMs: number,
  timing: WarmUpTiming,
): boolean => {
  if (nowMs - view.confirmedAtMs > timing.viewLagMs) {
    return false;
  }
  if (nowMs - view.memberSinceMs < timing.viewLagMs) {
    return false;
  }
  return rendezvous.rankByRendezvous(upstream, view.instances, 1)[0] === self;
};

/**
 * An issuer that has just become first. It keeps quiet while the one before
 * it may still issue (a view's lag), and its grants be used and drained.
 */
export const createSuccessorIssuer = (
  coldSinceMs: number,
  nowMs: number,
  timing: WarmUpTiming,
): WarmUpIssuer => ({
  coldSinceMs,
  quietUntilMs: nowMs + timing.viewLagMs + timing.termMs + timing.drainMs,
  grants: [],
});

/** The same, for an upstream that nobody can have sent work to before. */
export const createInitialIssuer = (coldSinceMs: number): WarmUpIssuer => ({
  coldSinceMs,
  quietUntilMs: coldSinceMs,
  grants: [],
});

/** Slots kept from others, by instance: its largest grant that may be used. */
const sumHeld = (grants: readonly IssuedGrant[]): number => {
  const held = new Map<string, number>();
  for (const {instance, slots, inFlight} of grants) {
    const largest = Math.max(held.get(instance) ?? 0, slots, inFlight);
    held.set(instance, largest);
  }
  return [...held.values()].reduce((sum, slots) => sum + slots, 0);
};

/**
 * An earlier grant of an instance that asked again. The answer may be lost or
 * late, and work be started on the earlier grant until its end, unseen before
 * the next request: a smaller new grant frees nothing until then.
 */
const supersede = (grant: IssuedGrant, termMs: number): IssuedGrant => ({
  ...grant,
  heldUntilMs: Math.min(grant.heldUntilMs, grant.endsAtMs + termMs),
});

/** Answers a request for slots, replacing the instance's earlier grant. */
export const issueGrant = (
  issuer: WarmUpIssuer,
  request: GrantRequest,
  nowMs: number,
  curve: WarmUpCurve,
  timing: WarmUpTiming,
): {readonly issuer: WarmUpIssuer; readonly grant: Grant} => {
  const {termMs, drainMs} = timing;
  const held = issuer.grants
    .map(grant =>
      grant.instance === request.instance ? supersede(grant, termMs) : grant,
    )
    .filter(grant => nowMs < grant.heldUntilMs);
  const others = held.filter(grant => grant.instance !== request.instance);
  const holders = new Set(others.map(grant => grant.instance));
  const capacity = findWarmUpSlots(curve, nowMs - issuer.coldSinceMs);
  const fair = Math.max(1, Math.ceil(capacity / (holders.size + 1)));
  const free = Math.max(0, capacity - sumHeld(others));
  const isQuiet = nowMs < issuer.quietUntilMs;
  const slots = isQuiet ? 0 : Math.min(request.wanted, free, fair);
  const issued = {
    instance: request.instance,
    slots,
    inFlight: request.inFlight,
    endsAtMs: nowMs + termMs,
    // Its instance may be cut off with work in progress until the drain ends.
    heldUntilMs: nowMs + termMs + drainMs,
  };
  const isEmpty = slots === 0 && request.inFlight === 0;
  return {
    issuer: {...issuer, grants: isEmpty ? held : [...held, issued]},
    grant: {slots, termMs},
  };
};

/**
 * Cold again: slots are issued as from the start. Grants in use are counted
 * until they end, so that nothing is issued before they fit.
 */
export const resetIssuer = (
  issuer: WarmUpIssuer,
  coldSinceMs: number,
): WarmUpIssuer => ({...issuer, coldSinceMs});

/** A grant as its holder keeps it. */
export interface HeldGrant {
  readonly slots: number;
  /** By the holder's clock, counted from when it sent the request. */
  readonly endsAtMs: number;
}

/** Whether a holder may start one more piece of work. */
export const mayStartOnGrant = (
  grant: HeldGrant | undefined,
  inFlight: number,
  nowMs: number,
): boolean =>
  grant !== undefined && nowMs < grant.endsAtMs && inFlight < grant.slots;

/**
 * Whether an instance should ask for slots at all: as many as the upstream
 * will bear, by rank, so that a thousand instances don't all ask one.
 */
export const mayRequestGrants = (
  upstream: string,
  self: string,
  instances: readonly string[],
  curve: WarmUpCurve,
): boolean =>
  rendezvous
    .rankByRendezvous(upstream, instances, curve.fullSlots)
    .includes(self);
