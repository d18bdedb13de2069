/**
 * Placement at one entry instance: which upstream gets a request for a version
 * of a model. Each instance decides alone, with late reports.
 *
 * Made for 12,000 upstreams before 1,000 instances as for 8 before 7. It
 * prevents herds after a report, one slow upstream holding the tail, and
 * prefix caches that are filled everywhere and hit nowhere.
 */
import * as placementPool from './placement-pool.js';
import * as upstreamLoad from './upstream-load.js';

type Load = upstreamLoad.UpstreamLoad;

/** An upstream that may be chosen. */
export interface PlacementCandidate {
  readonly id: string;
  readonly zone: string;
  /** What it runs, as `model@version`, or the name of a plain service. */
  readonly serves: readonly string[];
  /** Requests that it batches at once. */
  readonly slots: number;
}

/** A request that needs an upstream. */
export interface PlacementRequest {
  /** What has to run, as in `serves`. */
  readonly target: string;
  /** Requests with the same key share a prefix or a session. */
  readonly affinityKey?: string;
  /** Zones that operators have taken out. */
  readonly excludedZones?: ReadonlySet<string>;
  /** Whether an upstream may be used: not leaving, not cold, not tried yet. */
  readonly accepts?: (upstreamId: string) => boolean;
}

/** How an upstream was found. */
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
      /** `unknown_target`: none runs it; `none_accepted`: all are excluded. */
      readonly reason: 'unknown_target' | 'none_accepted';
    };

/** Settings of a placement. */
export interface PlacementOptions {
  readonly instanceId: string;
  readonly zone: string;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Upstreams of a target and zone that this instance watches. */
  readonly subsetSize?: number;
  /** Upstreams compared in one choice. */
  readonly samples?: number;
}

/**
 * Upstreams watched for each target and zone. At 33 versions and 9 zones a
 * zone has some 40 upstreams of a version; 12 of them leave room for slow and
 * excluded ones, and keep reports within 4 KB/s.
 */
export const DEFAULT_SUBSET_SIZE = 12;

/** Upstreams compared: with old reports, more of them make a herd. */
export const DEFAULT_SAMPLES = 3;

/**
 * Load up to which affinity holds, relative to the mean of the pool and one
 * request more. At 1.0 a fifth of the hits are lost as prefixes move at every
 * fluctuation; at 1.2 upstreams pass 1.3 times the mean load.
 */
const AFFINITY_BOUND = 1.1;

/** Slowness at which affinity gives way: a cache hit saves less than that. */
const AFFINITY_SLOWNESS = 2;

/**
 * Share of slots in use at which other zones are considered. Below it a batch
 * has room, and a hop across zones buys nothing.
 */
const SPILL_UTILIZATION = 0.85;

/**
 * Difference in cost that counts as none. Where own requests are few, old
 * reports decide alone: the least of three would then draw all instances at
 * once, until the next report. Among equals the draw decides.
 */
const TOLERANCE = 0.15;

/** How much better another zone has to look, or zones trade requests. */
const SPILL_ADVANTAGE = 0.8;

/** Chooses upstreams for one entry instance. Holds state; time is passed. */
export class Placement {
  private readonly loads = new Map<string, Load>();
  private readonly targets = new Map<string, placementPool.PlacementTarget>();
  private readonly samples: number;

  constructor(private readonly options: PlacementOptions) {
    this.samples = options.samples ?? DEFAULT_SAMPLES;
  }

  /** Replaces the candidates; what is known of those that stay is kept. */
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

  /** Identities of all upstreams whose reports this instance needs. */
  watchedIds(): ReadonlySet<string> {
    const ids = new Set<string>();
    for (const target of this.targets.values()) {
      for (const pool of target.pools) {
        pool.subset.forEach(load => ids.add(load.id));
      }
    }
    return ids;
  }

  /** Chooses an upstream. The caller then calls `start` for it. */
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

  /** Notes that a request was sent to an upstream. */
  start(upstreamId: string, nowMs: number): void {
    this.loads.get(upstreamId)?.start(nowMs);
  }

  /** Notes the end of a request; see `UpstreamLoad.finish` for latency. */
  finish(
    upstreamId: string,
    outcome: upstreamLoad.UpstreamOutcome,
    latencyMs: number,
    nowMs: number,
  ): void {
    this.loads.get(upstreamId)?.finish(outcome, latencyMs, nowMs);
  }

  /** Takes in a report of an upstream's load, measured at `measuredMs`. */
  report(upstreamId: string, load: number, measuredMs: number): void {
    this.loads.get(upstreamId)?.report(load, measuredMs);
  }

  /** What is known of an upstream, for status and the time line. */
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
   * Consistent hashing with bounded loads: the least loaded of the key's homes,
   * or the next in rank with room.
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
    const homes = pool.homeCount(request.affinityKey);
    const hasRoom = (load: Load): boolean =>
      load.expectedLoad(context.loadScale, context.nowMs) <=
        bound * load.slots &&
      load.slowness(context.medianLatencyMs, context.nowMs) <=
        AFFINITY_SLOWNESS &&
      isAccepted(load, request);
    if (homes > 1) {
      const open = ranked.slice(0, homes).filter(hasRoom);
      return findCheapest(open, context) ?? ranked.slice(homes).find(hasRoom);
    }
    return ranked.find(hasRoom);
  }

  /** The best of a few, drawn at random from the watched subset. */
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
    const used = local
      ? local.expectedLoad(context.loadScale, context.nowMs) / local.slots
      : Infinity;
    const slowness =
      local?.slowness(context.medianLatencyMs, context.nowMs) ?? Infinity;
    if (used < SPILL_UTILIZATION && slowness < AFFINITY_SLOWNESS) {
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
