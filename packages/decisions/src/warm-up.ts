/**
 * Grants the slots of a cold upstream to entry instances.
 *
 * Load: a thousand instances want to use an upstream during its cold start.
 * Harm prevented: each instance uses the whole small capacity, and together
 * they make the upstream fail. One instance issues the grants for an upstream:
 * the one that ranks first for it. A grant is a number of slots for a short
 * term, and the granted slots never exceed the upstream's capacity.
 */
import * as rendezvous from './rendezvous.js';

/** Capacity of an upstream while it warms up. It grows linearly with time. */
export interface WarmUpCurve {
  /** Concurrent requests when cold, at least 1. */
  readonly coldSlots: number;
  /** Concurrent requests when warm. */
  readonly fullSlots: number;
  /** Time from cold to warm, in milliseconds. */
  readonly warmMs: number;
}

/** Times that all instances have to agree on, in milliseconds. */
export interface WarmUpTiming {
  /** Time for which a grant allows new requests to start. */
  readonly termMs: number;
  /** Maximum time that requests may run after the end of their grant. */
  readonly drainMs: number;
  /** Maximum delay until an instance learns that another joined or left. */
  readonly viewLagMs: number;
}

/**
 * Default times. The term allows for two round trips and a pause. Requests that
 * outlast the drain are cut off.
 */
export const WARM_UP_TIMING: WarmUpTiming = {
  termMs: 1_000,
  drainMs: 10_000,
  viewLagMs: 3_000,
};

/** A grant as its issuer keeps it. */
export interface IssuedGrant {
  /** Id of the instance that holds the grant. */
  readonly instance: string;
  readonly slots: number;
  /** Requests that the instance had in progress when it asked. */
  readonly inFlight: number;
  /** Time until which new requests may start. */
  readonly endsAtMs: number;
  /** Time until which its slots are not granted to others. */
  readonly heldUntilMs: number;
}

/** State of the issuer of one upstream's grants. */
export interface WarmUpIssuer {
  readonly coldSinceMs: number;
  /** Until then nothing is granted: an earlier issuer's grants may be used. */
  readonly quietUntilMs: number;
  readonly grants: readonly IssuedGrant[];
}

/** Request of an instance for slots. */
export interface GrantRequest {
  readonly instance: string;
  readonly wanted: number;
  readonly inFlight: number;
}

/** Answer to a request: slots for `termMs`, from when the request was sent. */
export interface Grant {
  readonly slots: number;
  readonly termMs: number;
}

/** Concurrent requests that an upstream can take `ageMs` after a cold start. */
export const findWarmUpSlots = (curve: WarmUpCurve, ageMs: number): number => {
  const progress = Math.min(1, Math.max(0, ageMs / curve.warmMs));
  const grown = (curve.fullSlots - curve.coldSlots) * progress;
  return Math.floor(curve.coldSlots + grown);
};

/** The other instances as one instance knows them. */
export interface MembershipView {
  /** Live instances, including this one. */
  readonly instances: readonly string[];
  /** When the platform or most peers last confirmed the view. */
  readonly confirmedAtMs: number;
  /** When this instance became a member. */
  readonly memberSinceMs: number;
}

/**
 * Whether `self` may issue grants for an upstream. An instance that others may
 * not know yet, or whose view is old, may not: another one could rank itself
 * first at the same time, and both would grant the whole capacity.
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
 * Creates an issuer that takes over from another one. It grants nothing while
 * the earlier issuer may still issue (the view lag), and until the last of its
 * grants has ended and drained.
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

/** Creates an issuer for an upstream that has not received any requests. */
export const createInitialIssuer = (coldSinceMs: number): WarmUpIssuer => ({
  coldSinceMs,
  quietUntilMs: coldSinceMs,
  grants: [],
});

/**
 * Sum of the slots that instances may use. Each counts with the largest of its
 * grants and of its requests in progress.
 */
const sumHeld = (grants: readonly IssuedGrant[]): number => {
  const held = new Map<string, number>();
  for (const {instance, slots, inFlight} of grants) {
    const largest = Math.max(held.get(instance) ?? 0, slots, inFlight);
    held.set(instance, largest);
  }
  return [...held.values()].reduce((sum, slots) => sum + slots, 0);
};

/**
 * Shortens the hold of an earlier grant when its instance asks again. The
 * answer may be lost or late: until the earlier grant ends, requests may start
 * on it, which the issuer sees only with the next request for slots. So a
 * smaller new grant frees no slots until then.
 */
const supersede = (grant: IssuedGrant, termMs: number): IssuedGrant => ({
  ...grant,
  heldUntilMs: Math.min(grant.heldUntilMs, grant.endsAtMs + termMs),
});

/** Answers a request for slots; replaces the instance's earlier grant. */
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
  const fairShare = Math.max(1, Math.ceil(capacity / (holders.size + 1)));
  const free = Math.max(0, capacity - sumHeld(others));
  const isQuiet = nowMs < issuer.quietUntilMs;
  const slots = isQuiet ? 0 : Math.min(request.wanted, free, fairShare);
  const issued = {
    instance: request.instance,
    slots,
    inFlight: request.inFlight,
    endsAtMs: nowMs + termMs,
    // The instance may become unreachable with requests in progress, which end
    // with the drain at the latest.
    heldUntilMs: nowMs + termMs + drainMs,
  };
  const isEmpty = slots === 0 && request.inFlight === 0;
  return {
    issuer: {...issuer, grants: isEmpty ? held : [...held, issued]},
    grant: {slots, termMs},
  };
};

/**
 * Restarts the warm-up of an upstream that is cold again. Grants in use still
 * count until they end, so nothing is granted while they exceed the capacity.
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

/** Whether the holder of a grant may start one more request. */
export const mayStartOnGrant = (
  grant: HeldGrant | undefined,
  inFlight: number,
  nowMs: number,
): boolean =>
  grant !== undefined && nowMs < grant.endsAtMs && inFlight < grant.slots;

/**
 * Whether an instance should ask for slots. Only as many as the warm upstream
 * has slots do, by rank, so that a thousand instances don't all ask the issuer.
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
