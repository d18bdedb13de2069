/**
 * Chooses the upstream for a request to a model version or a plain service.
 * Each entry instance decides alone, with load reports that arrive late.
 *
 * Load: from 7 instances with 8 upstreams to 1,000 instances with 12,000. Harm
 * prevented: all instances choosing the same upstream after a report, one slow
 * upstream determining tail latency, and prefix caches that every upstream
 * fills and none hits.
 */
import * as placementPool from './placement-pool.js';
import * as upstreamLoad from './upstream-load.js';

type Load = upstreamLoad.UpstreamLoad;

/** An upstream that may be chosen. */
export interface PlacementCandidate {
  readonly id: string;
  readonly zone: string;
  /** Targets that it runs: `model@version`, or the name of a plain service. */
  readonly serves: readonly string[];
  /** Number of requests that it batches at once. */
  readonly slots: number;
}

/** A request that needs an upstream. */
export interface PlacementRequest {
  /** Target to run, in the form of `PlacementCandidate.serves`. */
  readonly target: string;
  /** Requests with the same key share a prefix or a session. */
  readonly affinityKey?: string;
  /** Zones that operators have taken out of service. */
  readonly excludedZones?: ReadonlySet<string>;
  /**
   * Whether an upstream may be used: false if it is leaving or cold, or was
   * already tried.
   */
  readonly accepts?: (upstreamId: string) => boolean;
}

/** Rule by which an upstream was chosen. */
export type PlacementReason = 'affinity' | 'sampled' | 'spill_over';

/** Outcome of a choice. */
export type PlacementOutcome =
  | {
      readonly kind: 'placed';
      readonly upstreamId: string;
      readonly zone: string;
      readonly reason: PlacementReason;
    }
  | {
      readonly kind: 'unplaced';
      /**
       * `unknown_target`: no upstream runs the target; `none_accepted`: all
       * that run it are excluded.
       */
      readonly reason: 'unknown_target' | 'none_accepted';
    };

/** Options of a placement. */
export interface PlacementOptions {
  readonly instanceId: string;
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Number of upstreams of a target and zone that this instance watches. */
  readonly subsetSize?: number;
  /** Number of upstreams compared in one choice. */
  readonly samples?: number;
}

/**
 * Default number of upstreams watched for each target and zone. With 33
 * versions and 9 zones, a zone has some 40 upstreams of a version. Watching 12
 * of them leaves enough when some are slow or excluded, and keeps reports
 * within 4 KB/s.
 */
export const DEFAULT_SUBSET_SIZE = 12;

/**
 * Default number of upstreams compared in one choice. With more of them, old
 * reports send all instances to the same upstream.
 */
export const DEFAULT_SAMPLES = 3;

/**
 * Maximum load for affinity, relative to the mean load of the pool plus one
 * request. At 1.0, prefixes move at every fluctuation and a fifth of the cache
 * hits are lost. At 1.2, some upstreams exceed 1.3 times the mean load.
 */
const AFFINITY_BOUND = 1.1;

/**
 * Slowness above which affinity is ignored: a slower upstream costs more time
 * than a cache hit saves.
 */
const AFFINITY_SLOWNESS = 2;

/**
 * Fraction of slots in use from which other zones are considered. Below it a
 * batch has room, and a request gains nothing from another zone.
 */
const SPILL_UTILIZATION = 0.85;

/**
 * Relative difference in cost that is ignored, so that the first upstream drawn
 * is chosen among similar ones. An instance with few requests of its own
 * decides by old reports alone: without the tolerance, all instances would
 * choose the upstream with the lowest reported load until the next report.
 */
const TOLERANCE = 0.15;

/**
 * Maximum cost of an upstream in another zone, relative to the best one in the
 * own zone. At 1, zones would send requests to each other back and forth.
 */
const SPILL_ADVANTAGE = 0.8;

/** Chooses upstreams for one entry instance. Reads no clock. */
export class Placement {
  private readonly loads = new Map<string, Load>();
  private readonly targets = new Map<string, placementPool.PlacementTarget>();
  private readonly samples: number;

  constructor(private readonly options: PlacementOptions) {
    this.samples = options.samples ?? DEFAULT_SAMPLES;
  }

  /** Replaces the candidates; keeps the state of those that remain. */
  setCandidates(candidates: readonly PlacementCandidate[]): void {
    const present = new Set<string>();
    const byTarget = new Map<string, Load[]>();
    for (const candidate of candidates) {
      present.add(candidate.id);
      const load = this.ensureLoad(candidate);
      for (const target of candidate.serves) {
        const members = byTarget.get(target) ?? [];
        members.push(load);
        byTarget.set(target, members);
      }
    }
    for (const id of this.loads.keys()) {
      if (!present.has(id)) {
        this.loads.delete(id);
      }
    }
    this.rebuild(byTarget);
  }

  /** Ids of all upstreams whose load reports this instance needs. */
  watchedIds(): ReadonlySet<string> {
    const ids = new Set<string>();
    for (const target of this.targets.values()) {
      for (const pool of target.pools) {
        pool.subset.forEach(load => ids.add(load.id));
      }
    }
    return ids;
  }

  /** Chooses an upstream; the caller has to call `start` for it. */
  choose(request: PlacementRequest, nowMs: number): PlacementOutcome {
    const target = this.targets.get(request.target);
    if (!target) {
      return {kind: 'unplaced', reason: 'unknown_target'};
    }
    const loadScale = target.loadScale(nowMs);
    const medianLatencyMs = target.medianLatencyMs;
    const context: placementPool.PlacementContext = {
      loadScale,
      medianLatencyMs,
      nowMs,
    };
    const [local, ...others] = target.pools.filter(
      pool => request.excludedZones?.has(pool.zone) !== true,
    );
    const affine = local && this.chooseAffine(local, request, context);
    if (affine) {
      return this.place(affine, 'affinity');
    }
    const best = local && this.sample(local, request, context);
    const spill = this.chooseSpill(best, others, request, context);
    if (spill) {
      const isLocal = spill.zone === this.options.zone;
      return this.place(spill, isLocal ? 'sampled' : 'spill_over');
    }
    return best
      ? this.place(best, 'sampled')
      : {kind: 'unplaced', reason: 'none_accepted'};
  }

  /** Records that a request was sent to an upstream. */
  start(upstreamId: string, nowMs: number): void {
    this.loads.get(upstreamId)?.start(nowMs);
  }

  /** Records the end of a request; see `UpstreamLoad.finish` for latency. */
  finish(
    upstreamId: string,
    outcome: upstreamLoad.UpstreamOutcome,
    latencyMs: number,
    nowMs: number,
  ): void {
    this.loads.get(upstreamId)?.finish(outcome, latencyMs, nowMs);
  }

  /** Applies a report of an upstream's load, measured at `measuredMs`. */
  report(upstreamId: string, load: number, measuredMs: number): void {
    this.loads.get(upstreamId)?.report(load, measuredMs);
  }

  /** Load of an upstream, for status and the time line. */
  find(upstreamId: string): Load | undefined {
    return this.loads.get(upstreamId);
  }

  private ensureLoad(candidate: PlacementCandidate): Load {
    const {id, zone, slots} = candidate;
    const known = this.loads.get(id);
    if (known?.zone === zone) {
      known.slots = slots;
      return known;
    }
    const created = new upstreamLoad.UpstreamLoad(id, zone, slots);
    this.loads.set(id, created);
    return created;
  }

  private rebuild(byTarget: ReadonlyMap<string, readonly Load[]>): void {
    this.targets.clear();
    for (const [name, members] of byTarget) {
      const target = placementPool.createTarget(members, {
        instanceId: this.options.instanceId,
        zone: this.options.zone,
        subsetSize: this.options.subsetSize ?? DEFAULT_SUBSET_SIZE,
      });
      this.targets.set(name, target);
    }
  }

  private place(load: Load, reason: PlacementReason): PlacementOutcome {
    return {kind: 'placed', upstreamId: load.id, zone: load.zone, reason};
  }

  /**
   * Consistent hashing with bounded loads: the cheapest of the key's homes that
   * has room, otherwise the next upstream in rank that does.
   */
  private chooseAffine(
    pool: placementPool.PlacementPool,
    request: PlacementRequest,
    context: placementPool.PlacementContext,
  ): Load | undefined {
    if (request.affinityKey === undefined) {
      return undefined;
    }
    const bound = AFFINITY_BOUND * (pool.meanUtilization(context) + pool.step);
    const ranked = pool.ranked(request.affinityKey);
    const count = pool.recordKey(request.affinityKey);
    const hasRoom = (load: Load): boolean =>
      load.expectedLoad(context.loadScale, context.nowMs) <=
        bound * load.slots &&
      load.slowness(context.medianLatencyMs, context.nowMs) <=
        AFFINITY_SLOWNESS &&
      isAccepted(load, request);
    if (count > 1) {
      const homes = ranked.slice(0, count).filter(hasRoom);
      return findCheapest(homes, context) ?? ranked.slice(count).find(hasRoom);
    }
    return ranked.find(hasRoom);
  }

  /** The cheapest of a few upstreams drawn at random from the subset. */
  private sample(
    pool: placementPool.PlacementPool,
    request: PlacementRequest,
    context: placementPool.PlacementContext,
  ): Load | undefined {
    const accepts = (load: Load) => isAccepted(load, request);
    const drawn = pool.draw(this.samples, this.options.random, accepts);
    return findCheapest(drawn, context, TOLERANCE);
  }

  private chooseSpill(
    local: Load | undefined,
    others: readonly placementPool.PlacementPool[],
    request: PlacementRequest,
    context: placementPool.PlacementContext,
  ): Load | undefined {
    const utilization = local
      ? local.expectedLoad(context.loadScale, context.nowMs) / local.slots
      : Infinity;
    const slowness =
      local?.slowness(context.medianLatencyMs, context.nowMs) ?? Infinity;
    if (utilization < SPILL_UTILIZATION && slowness < AFFINITY_SLOWNESS) {
      return undefined;
    }
    const limit = local ? placementPool.costOf(local, context) : Infinity;
    const start = Math.floor(this.options.random() * others.length);
    for (let i = 0; i < others.length; i++) {
      const pool = others[(start + i) % others.length];
      const found = pool && this.sample(pool, request, context);
      const cost = found ? placementPool.costOf(found, context) : Infinity;
      if (found && cost < SPILL_ADVANTAGE * limit) {
        return found;
      }
    }
    return undefined;
  }
}

const isAccepted = (load: Load, request: PlacementRequest): boolean =>
  request.accepts?.(load.id) !== false;

const findCheapest = (
  loads: readonly Load[],
  context: placementPool.PlacementContext,
  tolerance = 0,
): Load | undefined => {
  let best: Load | undefined;
  let bestCost = Infinity;
  for (const load of loads) {
    const cost = placementPool.costOf(load, context);
    if (cost < bestCost * (1 - tolerance)) {
      best = load;
      bestCost = cost;
    }
  }
  return best;
};
