/**
 * Availability zones that operators take out and bring back.
 *
 * Load: a zone's third of all work, moved within seconds and back. Harm
 * prevented: new work in a zone that is out; a stampede on its return, when
 * every instance would send its share at once to upstreams whose caches are
 * cold; sessions and caches moved twice for an absence of seconds.
 */

/** A zone as one instance sees it. Plain JSON. */
export interface ZoneStatus {
  readonly state: 'in' | 'out';
  /** When this state came into force here, in milliseconds. */
  readonly sinceMs: number;
  /** How long the zone was out before it came in; 0 if it never was. */
  readonly absenceMs: number;
}

/** Times of the policy, in milliseconds. */
export interface ZoneTiming {
  /** Absence after which sessions and caches move to other zones. */
  readonly graceMs: number;
  /** Ramp after an absence beyond the grace time. */
  readonly rampMs: number;
  /** Ramp after a shorter one: caches are still warm. */
  readonly shortRampMs: number;
}

/**
 * Named defaults. Grace: a planned restart of a rack's switch takes a minute
 * or so. Ramp: the time that an engine takes to fill its prefix cache.
 */
export const ZONE_TIMING: ZoneTiming = {
  graceMs: 120_000,
  rampMs: 60_000,
  shortRampMs: 15_000,
};

/** A zone that has always been in. */
export const ZONE_IN: ZoneStatus = {
  state: 'in',
  sinceMs: Number.NEGATIVE_INFINITY,
  absenceMs: 0,
};

/** Takes in the configured state of a zone. */
export const setZoneState = (
  status: ZoneStatus,
  state: ZoneStatus['state'],
  nowMs: number,
): ZoneStatus => {
  if (state === status.state) {
    return status;
  }
  const absenceMs = state === 'in' ? nowMs - status.sinceMs : 0;
  return {state, sinceMs: nowMs, absenceMs};
};

/**
 * Weight, 0 to 1, of the zone's upstreams in placement: 0 while out, then
 * growing evenly, so that its load grows no faster than its caches fill.
 */
export const findZoneWeight = (
  status: ZoneStatus,
  nowMs: number,
  timing: ZoneTiming,
): number => {
  if (status.state === 'out') {
    return 0;
  }
  if (status.absenceMs <= 0) {
    return 1;
  }
  const isShort = status.absenceMs <= timing.graceMs;
  const rampMs = isShort ? timing.shortRampMs : timing.rampMs;
  return Math.min(1, Math.max(0, (nowMs - status.sinceMs) / rampMs));
};

/**
 * Whether sessions and caches whose home is in the zone keep it: their
 * requests go elsewhere while the zone is out, but homes are only given up
 * after the grace time.
 */
export const keepsHome = (
  status: ZoneStatus,
  nowMs: number,
  timing: ZoneTiming,
): boolean => status.state === 'in' || nowMs - status.sinceMs <= timing.graceMs;
