/** Skewed load: one workspace and one prefix get 60% of all requests. */
import * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as deployment from '../models/deployment.js';
import type * as entryModel from '../models/entry-model.js';
import * as statistics from '../models/statistics.js';
import type * as upstreamModel from '../models/upstream-model.js';

/** Slots of an upstream: 32, and 16, where random variation is larger. */
const SLOTS = 32;
const FEW_SLOTS = 16;
const SERVICE_MS = 800;
const SERVICE_SIGMA = 0.5;
const DEADLINE_MS = 30_000;
const UTILISATION = 0.7;
const HOT_SHARE = 0.6;
/** Number of other prefixes; each upstream caches 20. */
const COLD_PREFIXES = 100;
const WARM_UP_MS = 20_000;
const END_MS = 120_000;
const SAMPLE_MS = 100;
/** Samples over which an upstream's load is averaged. */
const WINDOW_SAMPLES = 10;
/** Load over the mean up to which the oracle prefers cached prefixes. */
const ORACLE_LOAD_BOUND = 1.2;

interface Run {
  readonly hitRate: number;
  /** p99 of an upstream's load over the mean of all, averaged over a window. */
  readonly loadP99: number;
  readonly momentLoadP99: number;
  readonly latencyP99: number;
}

/** Placement that knows the true load and cache of each upstream. */
const createOraclePlacement: deployment.PlacementFactory = (
  _id,
  upstreams,
) => ({
  choose: ({affinityKey = ''}) => {
    const mean = statistics.mean(upstreams.map(u => u.load));
    const byLoad = [...upstreams].sort((a, b) => a.load - b.load);
    const bound = ORACLE_LOAD_BOUND * (mean + 1);
    const cached = byLoad.find(u => u.holds(affinityKey) && u.load <= bound);
    const chosen = cached ?? byLoad[0];
    return chosen
      ? {
          kind: 'placed',
          upstreamId: chosen.options.id,
          zone: chosen.options.zone,
          reason: 'affinity',
        }
      : {kind: 'unplaced', reason: 'unknown_target'};
  },
  start: () => undefined,
  finish: () => undefined,
  report: () => undefined,
});

/** Placement that sends each prefix to one upstream, whatever its load. */
const createHashPlacement: deployment.PlacementFactory = (_id, upstreams) => {
  const ids = upstreams.map(u => u.options.id);
  return {
    choose: ({affinityKey = ''}) => {
      const [first = ''] = decisions.rankByRendezvous(affinityKey, ids, 1);
      return {
        kind: 'placed',
        upstreamId: first,
        zone: '',
        reason: 'affinity',
      };
    },
    start: () => undefined,
    finish: () => undefined,
    report: () => undefined,
  };
};

const observeLoads = (
  sim: deployment.Deployment,
  ratios: number[],
  momentRatios: number[],
): void => {
  const sums = new Map<upstreamModel.UpstreamModel, number>();
  let samples = 0;
  sim.time.every(SAMPLE_MS, () => {
    if (sim.time.nowMs < WARM_UP_MS || sim.time.nowMs > END_MS) {
      return;
    }
    const mean = statistics.mean(sim.upstreams.map(u => u.load));
    samples++;
    for (const upstream of sim.upstreams) {
      sums.set(upstream, (sums.get(upstream) ?? 0) + upstream.load);
      momentRatios.push(upstream.load / Math.max(1, mean));
    }
    if (samples === WINDOW_SAMPLES) {
      const windowMean = statistics.mean([...sums.values()]);
      for (const sum of sums.values()) {
        ratios.push(sum / Math.max(1, windowMean));
      }
      sums.clear();
      samples = 0;
    }
  });
};

const runOnce = (
  seed: number,
  createPlacement: deployment.PlacementFactory,
  slots = SLOTS,
): Run => {
  const sim = new deployment.Deployment({
    seed,
    createPlacement,
    slots,
  });
  const rate = (UTILISATION * sim.slots * 1000) / SERVICE_MS;
  const ratios: number[] = [];
  const momentRatios: number[] = [];
  observeLoads(sim, ratios, momentRatios);
  sim.drive(
    () => rate,
    END_MS,
    () => {
      const isHot = sim.random() < HOT_SHARE;
      const cold = Math.floor(sim.random() * COLD_PREFIXES);
      return {
        workspace: isHot ? 'hot' : `workspace-${cold % 9}`,
        prefix: isHot ? 'hot' : `prefix-${cold}`,
        priority: 'interactive',
        weight: 1,
        deadlineMs: sim.time.nowMs + DEADLINE_MS,
        maxWaitMs: DEADLINE_MS,
        serviceMs: statistics.drawLogNormal(
          sim.random,
          SERVICE_MS,
          SERVICE_SIGMA,
        ),
      };
    },
  );
  sim.time.runUntil(END_MS + DEADLINE_MS);
  const hits = sim.upstreams.reduce((n, u) => n + u.hits, 0);
  const lookUps = sim.upstreams.reduce((n, u) => n + u.lookUps, 0);
  const late: readonly entryModel.CallerOutcome[] = sim.outcomes.filter(
    o => o.request.offeredMs >= WARM_UP_MS,
  );
  return {
    hitRate: hits / lookUps,
    loadP99: statistics.percentile(ratios, 99),
    momentLoadP99: statistics.percentile(momentRatios, 99),
    latencyP99: statistics.percentile(statistics.latencies(late), 99),
  };
};

/** Compares the product with an oracle, hashing and random placement. */
export const bench: figures.Bench = {
  summary: 'one workspace and one prefix take 60% of requests',
  run: seed => {
    const product = runOnce(seed, deployment.createProductPlacement);
    const oracle = runOnce(seed, createOraclePlacement);
    const hash = runOnce(seed, createHashPlacement);
    const random = runOnce(seed, deployment.createBaselinePlacement);
    const few = runOnce(seed, deployment.createProductPlacement, FEW_SLOTS);
    const fewOracle = runOnce(seed, createOraclePlacement, FEW_SLOTS);
    return Promise.resolve([
      {
        figure: 'load_p99_to_mean',
        value: product.loadP99,
        unit: 'ratio',
        baseline: random.loadP99,
        target: 1.3,
        direction: 'at_most',
      },
      {
        figure: 'load_p99_to_mean_moment',
        value: product.momentLoadP99,
        unit: 'ratio',
        baseline: random.momentLoadP99,
      },
      {
        figure: 'load_p99_to_mean_16_slots',
        value: few.loadP99,
        unit: 'ratio',
        target: 1.3,
        direction: 'at_most',
      },
      {
        figure: 'load_p99_to_mean_16_oracle',
        value: fewOracle.loadP99,
        unit: 'ratio',
      },
      {figure: 'load_p99_to_mean_oracle', value: oracle.loadP99, unit: 'ratio'},
      {figure: 'load_p99_to_mean_hash', value: hash.loadP99, unit: 'ratio'},
      {
        figure: 'hit_rate_to_oracle',
        value: product.hitRate / oracle.hitRate,
        unit: 'ratio',
        baseline: random.hitRate / oracle.hitRate,
        target: 0.8,
        direction: 'at_least',
      },
      {
        figure: 'hit_rate',
        value: product.hitRate,
        unit: 'of look-ups',
        baseline: random.hitRate,
      },
      {figure: 'hit_rate_oracle', value: oracle.hitRate, unit: 'of look-ups'},
      {
        figure: 'latency_p99',
        value: product.latencyP99,
        unit: 'ms',
        baseline: random.latencyP99,
      },
      {figure: 'latency_p99_oracle', value: oracle.latencyP99, unit: 'ms'},
    ]);
  },
};
