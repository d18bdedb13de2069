/**
 * Upstreams in several availability zones, of which one is taken out and
 * brought back: door checks and longer work placed by entry instances that
 * learn of each change a little late. Time goes on in ticks.
 */
import * as hdr from 'hdr-histogram-js';
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';

/** One run. */
export interface ZoneScenario {
  readonly zones: number;
  /** How long the first zone is out, in milliseconds. */
  readonly absenceMs: number;
  /** Whether a returning zone is ramped, and cold upstreams by grants. */
  readonly isRamped: boolean;
}

/** What came of a run. */
export interface ZoneRun {
  readonly accepted: number;
  readonly finished: number;
  /** p99 of door checks in milliseconds: before, while out, after. */
  readonly steadyP99: number;
  readonly outP99: number;
  readonly returnP99: number;
  /** From the operators' command to the last new work in the zone. */
  readonly lastNewWorkMs: number;
  /** Highest work at once after the return, as a ratio to what is borne. */
  readonly highestRatio: number;
  /** Time from the return until the zone has nine tenths of its share. */
  readonly backMs: number;
}

const TICK_MS = 10;
const OUT_AT_MS = 60_000;
const AFTER_MS = 150_000;
/** Longest time until an instance has a changed configuration. */
const SPREAD_MS = 1_500;
const INSTANCES_PER_ZONE = 2;
const UPSTREAMS_PER_ZONE = 3;
const SLOTS = 16;
/** Load of all zones together; with one of three out it is three quarters. */
const UTILISATION = 0.5;
const DOOR_SHARE = 0.2;
const DOOR_MS = 50;
const LONG_MS = 600;
/** Full batches make each piece of work half as long again. */
const BATCH_SLOWDOWN = 0.5;
const CURVE: decisions.WarmUpCurve = {
  coldSlots: 2,
  fullSlots: SLOTS,
  warmMs: 45_000,
};
const SHARE_REACHED = 0.9;
const ASK_EVERY_MS = 500;

interface Request {
  readonly atMs: number;
  readonly isDoor: boolean;
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
  /** When each change of the first zone is in force here. */
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

/** What an upstream bears now. */
const findBound = (upstream: Upstream, nowMs: number): number =>
  decisions.findWarmUpSlots(CURVE, nowMs - upstream.coldSinceMs);

/** Whether an instance may send to an upstream of the returned zone. */
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

const askForGrant = (
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
 * Whether an instance may start new work. The first is cut off from platform
 * and peers just as the zone is taken out, until the zone's return; it judges
 * by itself how long its configuration may be served.
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

/** Two choices by load; a zone's weight is the chance that a choice counts. */
const place = (
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

/** Runs one zone out and back. */
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
      // The one cut off doesn't learn of the change at all.
      outAtMs: index === 0 ? Infinity : OUT_AT_MS + random() * SPREAD_MS,
      inAtMs: inAtMs + random() * SPREAD_MS,
      status: decisions.ZONE_IN,
    }),
  );
  const meanMs = DOOR_SHARE * DOOR_MS + (1 - DOOR_SHARE) * LONG_MS;
  const slowdown = 1 + BATCH_SLOWDOWN * UTILISATION;
  const perTick =
    (UTILISATION * SLOTS * upstreams.length * TICK_MS) / (meanMs * slowdown);
  const steady = createHistogram();
  const out = createHistogram();
  const back = createHistogram();
  let waiting: Request[] = [];
  let nextArrivalMs = 0;
  let accepted = 0;
  let finished = 0;
  let lastNewWorkMs = 0;
  let highestRatio = 0;
  let backMs = Infinity;
  let zoneShare = 1 / zones;
  const endMs = inAtMs + AFTER_MS;
  for (let nowMs = 0; nowMs < endMs || finished < accepted; nowMs += TICK_MS) {
    if (nowMs === inAtMs) {
      // A long absence has emptied the caches: its upstreams are cold.
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
                : back;
          if (request.isDoor) {
            phase.recordValue(Math.max(1, endsAtMs - request.atMs));
          }
        }
      }
      upstream.work = upstream.work.filter(work => work.endsAtMs > nowMs);
      const isWarming = nowMs - upstream.coldSinceMs < CURVE.warmMs;
      if (isWarming && scenario.isRamped && nowMs % ASK_EVERY_MS === 0) {
        for (const instance of instances) {
          askForGrant(upstream, instance, nowMs);
        }
      }
    }
    while (nextArrivalMs <= nowMs && nowMs < endMs) {
      nextArrivalMs += seededRandom.drawExponential(random, TICK_MS / perTick);
      const isDoor = random() < DOOR_SHARE;
      const instance = Math.floor(random() * instances.length);
      waiting.push({atMs: nowMs, isDoor, instance});
      accepted++;
    }
    const left: Request[] = [];
    // Door checks first, as admission orders them.
    waiting.sort((a, b) => Number(b.isDoor) - Number(a.isDoor));
    for (const request of waiting) {
      const asked = instances[request.instance];
      // A caller refused by an instance that is cut off asks the next one.
      const instance =
        asked && isServing(asked, nowMs, instances.length)
          ? asked
          : instances[request.instance + 1];
      const upstream =
        instance && place(upstreams, instance, nowMs, scenario, random);
      if (!upstream) {
        left.push(request);
        continue;
      }
      const load = upstream.work.length / SLOTS;
      const base = request.isDoor
        ? DOOR_MS
        : seededRandom.drawExponential(random, LONG_MS);
      const endsAtMs = nowMs + base * (1 + BATCH_SLOWDOWN * load);
      upstream.work.push({request, endsAtMs});
      if (upstream.zone === 0) {
        if (nowMs >= OUT_AT_MS && nowMs < inAtMs) {
          lastNewWorkMs = nowMs - OUT_AT_MS;
        }
        if (nowMs >= inAtMs) {
          const bound = findBound(upstream, nowMs);
          highestRatio = Math.max(highestRatio, upstream.work.length / bound);
        }
      }
      if (nowMs >= inAtMs) {
        const isThere = upstream.zone === 0 ? 1 : 0;
        zoneShare += 0.002 * (isThere - zoneShare);
        if (zoneShare >= SHARE_REACHED / zones && backMs === Infinity) {
          backMs = nowMs - inAtMs;
        }
      } else if (nowMs >= OUT_AT_MS) {
        zoneShare = 0;
      }
    }
    waiting = left;
  }
  return {
    accepted,
    finished,
    steadyP99: steady.getValueAtPercentile(99),
    outP99: out.getValueAtPercentile(99),
    returnP99: back.getValueAtPercentile(99),
    lastNewWorkMs,
    highestRatio,
    backMs,
  };
};
