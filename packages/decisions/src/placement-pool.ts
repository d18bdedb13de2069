/** Upstreams of one target by zone, and the subset that an instance watches. */
import * as hashRing from './hash-ring.js';
import * as hotKeys from './hot-keys.js';
import * as movingEstimate from './moving-estimate.js';
import * as rendezvous from './rendezvous.js';
import type * as upstreamLoad from './upstream-load.js';

type Load = upstreamLoad.UpstreamLoad;

/** Values that are computed once for each choice. */
export interface PlacementContext {
  /** Ratio of all entry instances' requests to own ones. */
  readonly loadScale: number;
  /** Median latency of the target's upstreams, in milliseconds. */
  readonly medianLatencyMs: number;
  readonly nowMs: number;
}

/** The instance that a target is built for. */
export interface TargetOptions {
  readonly instanceId: string;
  readonly zone: string;
  /** Number of upstreams to watch in the instance's own zone. */
  readonly subsetSize: number;
}

/** Draws from all upstreams of a zone when none of the subset is accepted. */
const EXTRA_DRAWS = 16;

/** Latency assumed before the first answer, in milliseconds. */
const INITIAL_LATENCY_MS = 500;

/**
 * Load of a key above which it gets several homes, relative to the mean load of
 * an upstream.
 */
const HOT_SHARE = 0.5;

/** Ratio of a hot key's homes to the upstreams that its requests would fill. */
const HOME_SPREAD_FACTOR = 1.5;

/** Time for which aggregates over watched upstreams are cached, in ms. */
const REFRESH_MS = 200;

/** Slowness that is not penalized, because answers differ in length. */
const TOLERATED_SLOWNESS = 1.5;

/**
 * Cost of one more request: load per slot times the square of slowness. In a
 * batch, latency grows more slowly than load. Without the square, an idle
 * upstream that is 10 times slower would look as good as one with 10 requests.
 */
export const costOf = (load: Load, context: PlacementContext): number => {
  const requests = load.expectedLoad(context.loadScale, context.nowMs) + 1;
  const slowness = load.slowness(context.medianLatencyMs, context.nowMs);
  const penalty = slowness <= TOLERATED_SLOWNESS ? 1 : slowness ** 2;
  return (requests / load.slots) * penalty;
};

/** Upstreams of one target in one zone. */
export class PlacementPool {
  private readonly ring: hashRing.HashRing;
  /** Upstreams that the instance watches and samples. */
  readonly subset: readonly Load[];
  /** Mean fraction of an upstream's slots that one request takes. */
  readonly step: number;
  private readonly scratch: Load[];
  private readonly keys = new hotKeys.HotKeys();

  constructor(
    readonly zone: string,
    private readonly members: readonly Load[],
    options: TargetOptions,
  ) {
    const ids = members.map(load => load.id);
    const byId = new Map(members.map(load => [load.id, load]));
    const {instanceId, subsetSize} = options;
    // The subset does not depend on other instances: it stays the same as they
    // come and go, and so does the number of instances that watch an upstream.
    const chosen = rendezvous.rankByRendezvous(instanceId, ids, subsetSize);
    this.ring = new hashRing.HashRing(ids);
    this.subset = chosen.flatMap(id => byId.get(id) ?? []);
    this.scratch = [...this.subset];
    const slots = this.subset.reduce((sum, load) => sum + load.slots, 0);
    this.step = this.subset.length / Math.max(1, slots);
  }

  /** Upstreams of the zone for a key, first choice first. */
  ranked(key: string): readonly Load[] {
    const ranked: Load[] = [];
    for (const index of this.ring.lookUp(key)) {
      const load = this.members[index];
      if (load) {
        ranked.push(load);
      }
    }
    return ranked;
  }

  /**
   * Records a request for a key and returns the key's number of homes: the
   * upstreams that its requests are spread over. A frequent key has several,
   * because its requests would otherwise fill its first choice.
   */
  recordKey(key: string): number {
    const load = this.keys.record(key) * this.members.length;
    return load < HOT_SHARE ? 1 : Math.ceil(load * HOME_SPREAD_FACTOR);
  }

  /** Mean fraction of slots in use, estimated from the subset. */
  meanUtilization(context: PlacementContext): number {
    let load = 0;
    let slots = 0;
    for (const member of this.subset) {
      load += member.expectedLoad(context.loadScale, context.nowMs);
      slots += member.slots;
    }
    return load / Math.max(1, slots);
  }

  /** Draws up to `count` distinct accepted upstreams at random. */
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

  /** Draws one from the whole zone if none of the subset is accepted. */
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
  private refreshedAtMs = -Infinity;
  private latencyMs = INITIAL_LATENCY_MS;
  private readonly watched: readonly Load[];
  private readonly scratch: Float64Array;

  constructor(readonly pools: readonly PlacementPool[]) {
    this.watched = pools.flatMap(pool => pool.subset);
    this.scratch = new Float64Array(this.watched.length);
  }

  /** Median latency over the watched upstreams that have answered. */
  get medianLatencyMs(): number {
    return this.latencyMs;
  }

  /**
   * Ratio of all entry instances' requests to own ones; at least 1. It is
   * estimated from reports, so an instance need not know how many others there
   * are.
   */
  loadScale(nowMs: number): number {
    if (nowMs - this.refreshedAtMs >= REFRESH_MS) {
      this.refreshedAtMs = nowMs;
      this.refresh(nowMs);
    }
    return this.scale.hasSamples ? Math.max(1, this.scale.mean) : 1;
  }

  private refresh(nowMs: number): void {
    let answered = 0;
    let all = 0;
    let own = 0;
    for (const load of this.watched) {
      if (load.measuredLatencyMs !== undefined) {
        this.scratch[answered++] = load.measuredLatencyMs;
      }
      if (load.hasReport(nowMs)) {
        all += load.lastReport.load;
        own += load.lastReport.own;
      }
    }
    if (own > 0) {
      this.scale.add(all / own);
    }
    const latencies = this.scratch.subarray(0, answered).sort();
    const middle = latencies[Math.floor(answered / 2)];
    this.latencyMs = Math.max(1, middle ?? INITIAL_LATENCY_MS);
  }
}

/**
 * Number of other zones that are watched, and of upstreams in each. These are
 * enough to spill over to, and avoid watching a version in all nine zones.
 */
const REMOTE_ZONES = 2;
const REMOTE_SUBSET = 3;

/**
 * Largest target, as a multiple of the subset size, that is watched in all
 * zones.
 */
const WATCH_ALL_FACTOR = 2;

/** Number of upstreams watched in a zone; the own zone has rank 0. */
const subsetSizeAt = (
  rank: number,
  members: number,
  options: TargetOptions,
): number => {
  if (rank === 0 || members <= WATCH_ALL_FACTOR * options.subsetSize) {
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
  // Each instance ranks the other zones differently, so that they don't all
  // spill over to the same one.
  const zones = [
    ...rendezvous.rankByRendezvous(options.instanceId, [...byZone.keys()]),
  ];
  const distanceTo = (zone: string) => (zone === options.zone ? 0 : 1);
  zones.sort((a, b) => distanceTo(a) - distanceTo(b));
  const pools = zones.map(
    (zone, rank) =>
      new PlacementPool(zone, byZone.get(zone) ?? [], {
        ...options,
        subsetSize: subsetSizeAt(rank, members.length, options),
      }),
  );
  return new PlacementTarget(pools);
};
