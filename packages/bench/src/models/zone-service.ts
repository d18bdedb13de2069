/**
 * Simulates upstreams in several availability zones, one of which is taken out
 * of service and brought back. Entry instances place door checks and longer
 * requests, and learn of each change with a lag. Time advances in ticks.
 */
import * as hdr from 'hdr-histogram-js';
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';

/** Conditions of a run. */
export interface ZoneScenario {
  readonly zones: number;
  /** How long the first zone is out of service, in milliseconds. */
  readonly absenceMs: number;
  /** Whether a returning zone is ramped up, and cold upstreams need grants. */
  readonly isRamped: boolean;
}

/** Result of a run. */
export interface ZoneRun {
  readonly accepted: number;
  readonly finished: number;
  /** p99 of door checks in milliseconds: before, during, after the absence. */
  readonly steadyP99: number;
  readonly outP99: number;
  readonly returnP99: number;
  /** Time from the operators' command to the last new request in the zone. */
  readonly lastNewWorkMs: number;
  /** Highest ratio of requests to an upstream's capacity after the return. */
  readonly maxLoadRatio: number;
  /** Time from the return until the zone gets nine tenths of its share. */
  readonly restoredAfterMs: number;
}

const TICK_MS = 10;
const OUT_AT_MS = 60_000;
const AFTER_RETURN_MS = 150_000;
/** Longest time until a configuration change is active on an instance. */
const MAX_CHANGE_LAG_MS = 1_500;
const INSTANCES_PER_ZONE = 2;
const UPSTREAMS_PER_ZONE = 3;
const SLOTS = 16;
/** Load of all zones together; three quarters with one of three zones out. */
const UTILISATION = 0.5;
const DOOR_CHECK_SHARE = 0.2;
const DOOR_CHECK_MS = 50;
const LONG_WORK_MS = 600;
/** A full batch makes each request take half as long again. */
const BATCH_SLOWDOWN = 0.5;
const CURVE: decisions.WarmUpCurve = {
  coldSlots: 2,
  fullSlots: SLOTS,
  warmMs: 45_000,
};
const RESTORED_FRACTION = 0.9;
const GRANT_REQUEST_INTERVAL_MS = 500;

interface Request {
  readonly atMs: number;
  readonly isDoorCheck: boolean;
  readonly instance: number;
}

interface Work {
  readonly request: Request;
  readonly endsAtMs: number;
}

interface Upstream {
  readonly id: string;
  readonly zone: number;
  work: Work[];
  coldSinceMs: number;
  issuer: decisions.WarmUpIssuer | undefined;
  readonly grants: Map<number, decisions.HeldGrant>;
}

interface Instance {
  readonly index: number;
  /** When each change of the first zone is active on this instance. */
  readonly outAtMs: number;
  readonly inAtMs: number;
  status: decisions.ZoneStatus;
}

const createUpstreams = (zones: number): readonly Upstream[] =>
  Array.from({length: zones * UPSTREAMS_PER_ZONE}, (_, i) => ({
    id: `upstream-${i}`,
    zone: i % zones,
    work: [],
    coldSinceMs: Number.NEGATIVE_INFINITY,
    issuer: undefined,
    grants: new Map(),
  }));

const countOwn = (upstream: Upstream, instance: Instance): number =>
  upstream.work.filter(work => work.request.instance === instance.index).length;

/** Requests that an upstream can take now. */
const findCapacity = (upstream: Upstream, nowMs: number): number =>
  decisions.findWarmUpSlots(CURVE, nowMs - upstream.coldSinceMs);

/** Whether an instance may send to an upstream; cold ones need a grant. */
const mayUse = (
  upstream: Upstream,
  instance: Instance,
  nowMs: number,
  scenario: ZoneScenario,
): boolean => {
  if (upstream.work.length >= SLOTS) {
    return false;
  }
  const isCold = nowMs - upstream.coldSinceMs < CURVE.warmMs;
  if (!isCold || !scenario.isRamped) {
    return true;
  }
  const grant = upstream.grants.get(instance.index);
  const own = countOwn(upstream, instance);
  return decisions.mayStartOnGrant(grant, own, nowMs);
};

const requestGrant = (
  upstream: Upstream,
  instance: Instance,
  nowMs: number,
): void => {
  upstream.issuer ??= decisions.createInitialIssuer(upstream.coldSinceMs);
  const request = {
    instance: String(instance.index),
    wanted: SLOTS,
    inFlight: countOwn(upstream, instance),
  };
  const timing = decisions.WARM_UP_TIMING;
  const answer = decisions.issueGrant(
    upstream.issuer,
    request,
    nowMs,
    CURVE,
    timing,
  );
  upstream.issuer = answer.issuer;
  const {slots, termMs} = answer.grant;
  upstream.grants.set(instance.index, {slots, endsAtMs: nowMs + termMs});
};

/**
 * Whether an instance may start new requests. The first instance is cut off from
 * the platform and its peers from the moment the zone is taken out until it
 * returns, and decides by itself how long its configuration may be used.
 */
const isServing = (
  instance: Instance,
  nowMs: number,
  instances: number,
): boolean => {
  const isCutOff =
    instance.index === 0 && nowMs >= OUT_AT_MS && nowMs < instance.inAtMs;
  const silentMs = isCutOff ? nowMs - OUT_AT_MS : 0;
  const freshness = decisions.judgeFreshness({
    confirmedAgoMs: silentMs,
    agreedAgoMs: silentMs,
    peersHeard: isCutOff ? 0 : instances - 1,
    peersKnown: instances - 1,
  });
  return decisions.mayStartWork(freshness);
};

/**
 * Chooses the less loaded of two random upstreams. An upstream in the first zone
 * is a candidate with the probability of the zone's weight.
 */
const choosePlacement = (
  upstreams: readonly Upstream[],
  instance: Instance,
  nowMs: number,
  scenario: ZoneScenario,
  random: () => number,
): Upstream | undefined => {
  const timing = scenario.isRamped
    ? decisions.ZONE_TIMING
    : {graceMs: 0, rampMs: 1, shortRampMs: 1};
  const weight = decisions.findZoneWeight(instance.status, nowMs, timing);
  const usable = upstreams.filter(
    upstream =>
      (upstream.zone > 0 || random() < weight) &&
      mayUse(upstream, instance, nowMs, scenario),
  );
  const draw = () => usable[Math.floor(random() * usable.length)];
  const [a, b] = [draw(), draw()];
  return a && b && b.work.length < a.work.length ? b : a;
};

const createHistogram = (): hdr.Histogram =>
  hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000});

/** Simulates a zone that is taken out of service and brought back. */
export const runZone = (
  scenario: ZoneScenario,
  random: () => number,
): ZoneRun => {
  const {zones, absenceMs} = scenario;
  const upstreams = createUpstreams(zones);
  const inAtMs = OUT_AT_MS + absenceMs;
  const instances: readonly Instance[] = Array.from(
    {length: zones * INSTANCES_PER_ZONE},
    (_, index) => ({
      index,
      // The instance that is cut off never learns of the change.
      outAtMs:
        index === 0 ? Infinity : OUT_AT_MS + random() * MAX_CHANGE_LAG_MS,
      inAtMs: inAtMs + random() * MAX_CHANGE_LAG_MS,
      status: decisions.ZONE_IN,
    }),
  );
  const meanMs =
    DOOR_CHECK_SHARE * DOOR_CHECK_MS + (1 - DOOR_CHECK_SHARE) * LONG_WORK_MS;
  const slowdown = 1 + BATCH_SLOWDOWN * UTILISATION;
  const perTick =
    (UTILISATION * SLOTS * upstreams.length * TICK_MS) / (meanMs * slowdown);
  const steady = createHistogram();
  const out = createHistogram();
  const afterReturn = createHistogram();
  let waiting: Request[] = [];
  let nextArrivalMs = 0;
  let accepted = 0;
  let finished = 0;
  let lastNewWorkMs = 0;
  let maxLoadRatio = 0;
  let restoredAfterMs = Infinity;
  let zoneShare = 1 / zones;
  const endMs = inAtMs + AFTER_RETURN_MS;
  for (let nowMs = 0; nowMs < endMs || finished < accepted; nowMs += TICK_MS) {
    if (nowMs === inAtMs) {
      // After a long absence the zone's upstreams have lost their caches.
      const isLong = absenceMs > decisions.ZONE_TIMING.graceMs;
      for (const upstream of upstreams.filter(({zone}) => zone === 0)) {
        upstream.coldSinceMs = isLong ? nowMs : Number.NEGATIVE_INFINITY;
      }
    }
    for (const instance of instances) {
      const isOut = nowMs >= instance.outAtMs && nowMs < instance.inAtMs;
      const state = isOut ? 'out' : 'in';
      instance.status = decisions.setZoneState(instance.status, state, nowMs);
    }
    for (const upstream of upstreams) {
      for (const {request, endsAtMs} of upstream.work) {
        if (endsAtMs <= nowMs) {
          finished++;
          const phase =
            request.atMs < OUT_AT_MS
              ? steady
              : request.atMs < inAtMs
                ? out
                : afterReturn;
          if (request.isDoorCheck) {
            phase.recordValue(Math.max(1, endsAtMs - request.atMs));
          }
        }
      }
      upstream.work = upstream.work.filter(work => work.endsAtMs > nowMs);
      const isWarming = nowMs - upstream.coldSinceMs < CURVE.warmMs;
      if (
        isWarming &&
        scenario.isRamped &&
        nowMs % GRANT_REQUEST_INTERVAL_MS === 0
      ) {
        for (const instance of instances) {
          requestGrant(upstream, instance, nowMs);
        }
      }
    }
    while (nextArrivalMs <= nowMs && nowMs < endMs) {
      nextArrivalMs += seededRandom.drawExponential(random, TICK_MS / perTick);
      const isDoorCheck = random() < DOOR_CHECK_SHARE;
      const instance = Math.floor(random() * instances.length);
      waiting.push({atMs: nowMs, isDoorCheck, instance});
      accepted++;
    }
    const unplaced: Request[] = [];
    // Admission orders door checks first.
    waiting.sort((a, b) => Number(b.isDoorCheck) - Number(a.isDoorCheck));
    for (const request of waiting) {
      const asked = instances[request.instance];
      // If an instance that is cut off refuses a caller, it asks the next one.
      const instance =
        asked && isServing(asked, nowMs, instances.length)
          ? asked
          : instances[request.instance + 1];
      const upstream =
        instance &&
        choosePlacement(upstreams, instance, nowMs, scenario, random);
      if (!upstream) {
        unplaced.push(request);
        continue;
      }
      const load = upstream.work.length / SLOTS;
      const base = request.isDoorCheck
        ? DOOR_CHECK_MS
        : seededRandom.drawExponential(random, LONG_WORK_MS);
      const endsAtMs = nowMs + base * (1 + BATCH_SLOWDOWN * load);
      upstream.work.push({request, endsAtMs});
      if (upstream.zone === 0) {
        if (nowMs >= OUT_AT_MS && nowMs < inAtMs) {
          lastNewWorkMs = nowMs - OUT_AT_MS;
        }
        if (nowMs >= inAtMs) {
          const bound = findCapacity(upstream, nowMs);
          maxLoadRatio = Math.max(maxLoadRatio, upstream.work.length / bound);
        }
      }
      if (nowMs >= inAtMs) {
        const inZone = upstream.zone === 0 ? 1 : 0;
        zoneShare += 0.002 * (inZone - zoneShare);
        if (
          zoneShare >= RESTORED_FRACTION / zones &&
          restoredAfterMs === Infinity
        ) {
          restoredAfterMs = nowMs - inAtMs;
        }
      } else if (nowMs >= OUT_AT_MS) {
        zoneShare = 0;
      }
    }
    waiting = unplaced;
  }
  return {
    accepted,
    finished,
    steadyP99: steady.getValueAtPercentile(99),
    outP99: out.getValueAtPercentile(99),
    returnP99: afterReturn.getValueAtPercentile(99),
    lastNewWorkMs,
    maxLoadRatio,
    restoredAfterMs,
  };
};
