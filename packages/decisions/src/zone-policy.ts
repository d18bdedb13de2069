/**
 * Weights of availability zones that operators take out of service and bring
 * back.
 *
 * Load: a zone's third of all requests moves to other zones within seconds, and
 * back later. Harm prevented: new requests in a zone that is out; a stampede on
 * its return, when every instance would at once send its full share to
 * upstreams with cold caches; sessions and caches that move twice for an
 * absence of seconds.
 */

/** State of a zone on one instance. Can be serialized as JSON. */
export interface ZoneStatus {
  readonly state: 'in' | 'out';
  /** When this state became active on this instance, in milliseconds. */
  readonly sinceMs: number;
  /** How long the zone was out before it came back, in ms; 0 if never out. */
  readonly absenceMs: number;
}

/** Times of the policy, in milliseconds. */
export interface ZoneTiming {
  /** Absence after which sessions and caches move to other zones. */
  readonly graceMs: number;
  /** Length of the ramp after an absence longer than the grace time. */
  readonly rampMs: number;
  /** Length of the ramp after a shorter absence, when caches are still warm. */
  readonly shortRampMs: number;
}

/**
 * Default times. The grace time covers the planned restart of a rack's switch,
 * which takes about a minute. The ramp is the time in which an engine fills its
 * prefix cache.
 */
export const ZONE_TIMING: ZoneTiming = {
  graceMs: 120_000,
  rampMs: 60_000,
  shortRampMs: 15_000,
};

/** Status of a zone that was never out. */
export const ZONE_IN: ZoneStatus = {
  state: 'in',
  sinceMs: Number.NEGATIVE_INFINITY,
  absenceMs: 0,
};

/** Applies the configured state of a zone; the same state changes nothing. */
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
 * Weight of the zone's upstreams in placement, from 0 to 1. It is 0 while the
 * zone is out, and then grows linearly, so that load grows no faster than the
 * caches fill.
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
 * Whether sessions and caches in the zone keep their home there. While the zone
 * is out, their requests go to other zones, but their home moves only after the
 * grace time.
 */
export const keepsHome = (
  status: ZoneStatus,
  nowMs: number,
  timing: ZoneTiming,
): boolean => status.state === 'in' || nowMs - status.sinceMs <= timing.graceMs;
