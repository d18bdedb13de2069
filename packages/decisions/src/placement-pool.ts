/** Upstreams of one target, by zone, with the subset an instance watches. */
import * as hashRing from './hash-ring.js';
import * as movingEstimate from './moving-estimate.js';
import * as rendezvous from './rendezvous.js';
import type * as upstreamLoad from './upstream-load.js';

type Load = upstreamLoad.UpstreamLoad;

/** Values that one choice computes once. */
export interface PoolView {
  /** Requests of all entry instances for each own one. */
  readonly scale: number;
  /** Latency that is usual for the target, in milliseconds. */
  readonly usualMs: number;
  readonly nowMs: number;
}

/** Whose view a target is built for. */
export interface TargetOptions {
  readonly instanceId: string;
  readonly zone: string;
  readonly subsetSize: number;
}

/** Extra draws when upstreams of the subset are not accepted. */
const EXTRA_DRAWS = 16;

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 500;

/** Time for which the values of a whole subset are kept. */
const REFRESH_MS = 100;

/** Expected time in the batch: load over slots, times slowness. */
export const costOf = (load: Load, view: PoolView): number => {
  const used = load.expectedLoad(view.scale, view.nowMs) + 1;
  return (used / load.slots) * load.slowness(view.usualMs, view.nowMs);
};

/** Upstreams of one target in one zone. */
export class PlacementPool {
  private readonly ring: hashRing.HashRing;
  /** Upstreams that the instance watches and samples. */
  readonly subset: readonly Load[];
  /** Share of an upstream's slots that one request takes. */
  readonly step: number;
  private readonly scratch: Load[];

  constructor(
    readonly zone: string,
    private readonly members: readonly Load[],
    options: TargetOptions,
  ) {
    const ids = members.map(load => load.id);
    const byId = new Map(members.map(load => [load.id, load]));
    const {instanceId, subsetSize} = options;
    // The subset depends on the instance alone: as others come and go it
    // stays, and so does the number of instances that watch an upstream.
    const chosen = rendezvous.rankByRendezvous(instanceId, ids, subsetSize);
    this.ring = new hashRing.HashRing(ids);
    this.subset = chosen.flatMap(id => byId.get(id) ?? []);
    this.scratch = [...this.subset];
    const slots = this.subset.reduce((sum, load) => sum + load.slots, 0);
    this.step = this.subset.length / Math.max(1, slots);
  }

  /** All upstreams of the zone that a key prefers, first choice first. */
  ranked(key: string): readonly Load[] {
    return this.ring.lookUp(key).flatMap(index => this.members[index] ?? []);
  }

  /** Mean share of slots in use, as far as the subset shows. */
  meanUtilization(view: PoolView): number {
    let load = 0;
    let slots = 0;
    for (const member of this.subset) {
      load += member.expectedLoad(view.scale, view.nowMs);
      slots += member.slots;
    }
    return load / Math.max(1, slots);
  }

  /** Draws up to `count` accepted upstreams at random, none of them twice. */
  draw(
    count: number,
    random: () => number,
    accepts: (load: Load) => boolean,
  ): readonly Load[] {
    const drawn: Load[] = [];
    for (let i = 0; i < this.scratch.length && drawn.length < count; i++) {
      this.swap(i, i + Math.floor(random() * (this.scratch.length - i)));
      const load = this.scratch[i];
      if (load && accepts(load)) {
        drawn.push(load);
      }
    }
    return drawn.length > 0 ? drawn : this.drawOutside(random, accepts);
  }

  /** When the whole subset is excluded, some of the others may do. */
  private drawOutside(
    random: () => number,
    accepts: (load: Load) => boolean,
  ): readonly Load[] {
    const size = this.members.length;
    if (size <= this.subset.length) {
      return [];
    }
    for (let i = 0; i < EXTRA_DRAWS; i++) {
      const load = this.members[Math.floor(random() * size)];
      if (load && accepts(load)) {
        return [load];
      }
    }
    return [];
  }

  private swap(i: number, j: number): void {
    const a = this.scratch[i];
    const b = this.scratch[j];
    if (a && b) {
      this.scratch[i] = b;
      this.scratch[j] = a;
    }
  }
}

/** Upstreams of one target, the instance's own zone first. */
export class PlacementTarget {
  private readonly scale = new movingEstimate.MovingEstimate();
  private refreshMs = -Infinity;
  private latencyMs = INITIAL_LATENCY_MS;

  constructor(readonly pools: readonly PlacementPool[]) {}

  /** Latency that is usual: the median over upstreams that answered. */
  get usualLatencyMs(): number {
    return this.latencyMs;
  }

  /**
   * Requests of all entry instances for each own one, learnt from reports:
   * no instance has to know how many others there are.
   */
  loadScale(nowMs: number): number {
    if (nowMs - this.refreshMs >= REFRESH_MS) {
      this.refreshMs = nowMs;
      this.refresh(nowMs);
    }
    return this.scale.hasSamples ? Math.max(1, this.scale.mean) : 1;
  }

  private refresh(nowMs: number): void {
    const latencies: number[] = [];
    let all = 0;
    let own = 0;
    for (const load of this.pools.flatMap(pool => pool.subset)) {
      if (load.measuredLatencyMs !== undefined) {
        latencies.push(load.measuredLatencyMs);
      }
      if (load.hasReport(nowMs)) {
        all += load.lastReport.load;
        own += load.lastReport.own;
      }
    }
    if (own > 0) {
      this.scale.add(all / own);
    }
    latencies.sort((a, b) => a - b);
    const middle = latencies[Math.floor(latencies.length / 2)];
    this.latencyMs = Math.max(1, middle ?? INITIAL_LATENCY_MS);
  }
}

/**
 * Other zones watched beside the own one, and upstreams in each: enough to
 * spill over to, without watching a version in all nine zones.
 */
const REMOTE_ZONES = 2;
const REMOTE_SUBSET = 3;

/** Up to this many times the subset, a target's upstreams are all watched. */
const WATCH_ALL = 2;

/** Upstreams watched in a zone, the own zone being at rank 0. */
const subsetSizeAt = (
  rank: number,
  members: number,
  options: TargetOptions,
): number => {
  if (rank === 0 || members <= WATCH_ALL * options.subsetSize) {
    return options.subsetSize;
  }
  return rank <= REMOTE_ZONES ? REMOTE_SUBSET : 0;
};

/** Groups a target's upstreams by zone for one instance. */
export const createTarget = (
  members: readonly Load[],
  options: TargetOptions,
): PlacementTarget => {
  const byZone = new Map<string, Load[]>();
  for (const load of members) {
    const group = byZone.get(load.zone) ?? [];
    group.push(load);
    byZone.set(load.zone, group);
  }
  // Instances spill over to different zones first, or they all meet in one.
  const zones = [
    ...rendezvous.rankByRendezvous(options.instanceId, [...byZone.keys()]),
  ];
  const isOwn = (zone: string) => (zone === options.zone ? 0 : 1);
  zones.sort((a, b) => isOwn(a) - isOwn(b));
  const pools = zones.map(
    (zone, rank) =>
      new PlacementPool(zone, byZone.get(zone) ?? [], {
        ...options,
        subsetSize: subsetSizeAt(rank, members.length, options),
      }),
  );
  return new PlacementTarget(pools);
};
