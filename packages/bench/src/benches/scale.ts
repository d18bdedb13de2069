/** Cost of decisions at today's size and at the design size. */
import * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as deployment from '../models/deployment.js';
import * as statistics from '../models/statistics.js';
import * as seededRandom from '@amaranthknot/fakes';

const SMALL = 12;
const LARGE = 12_000;
const ENTRY_INSTANCES_SMALL = 7;
const ENTRY_INSTANCES_LARGE = 1000;
const VERSIONS = 33;
const ZONES = 9;
const SLOTS = 64;
const PREFIXES = 1000;
const BATCH = 1000;
const BATCHES = 40;
const WARM_UP_BATCHES = 10;
/** Bytes of a load report: id, load, age and framing. */
const REPORT_BYTES = 24;
const REPORT_PERIOD_S = 5;
/** Latency of each answer, in milliseconds. */
const LATENCY_MS = 500;

/**
 * All instances of a zone in front of one version's upstreams there, where
 * instances may choose the same upstream at once.
 */
const HERD_INSTANCES = 300;
const HERD_UPSTREAMS = 40;
const HERD_LOAD = 0.7;
const HERD_SERVICE_MS = 2000;
const HERD_WARM_UP_MS = 10_000;
const HERD_END_MS = 30_000;
const HERD_SAMPLE_MS = 100;

/** Median over batches of the mean duration of a step, in microseconds. */
const timeStep = (step: (index: number) => void): number => {
  const times: number[] = [];
  let index = 0;
  for (let batch = 0; batch < BATCHES; batch++) {
    const begin = process.hrtime.bigint();
    for (let i = 0; i < BATCH; i++) {
      step(index++);
    }
    const nanoseconds = Number(process.hrtime.bigint() - begin);
    if (batch >= WARM_UP_BATCHES) {
      times.push(nanoseconds / BATCH / 1000);
    }
  }
  return statistics.percentile(times, 50);
};

const createCandidates = (
  count: number,
  versions: number,
  zones: number,
): readonly decisions.PlacementCandidate[] =>
  Array.from({length: count}, (_, i) => ({
    id: `upstream-${i}`,
    zone: `zone-${i % zones}`,
    serves: [`model@${Math.floor(i / zones) % versions}`],
    slots: SLOTS,
  }));

interface PlacementCase {
  readonly upstreams: number;
  readonly versions: number;
  readonly zones: number;
  readonly hasAffinity: boolean;
  readonly seed: number;
}

/** Duration of one choice with its start, report and finish, in microseconds. */
const timePlacement = (options: PlacementCase): number => {
  const {upstreams, versions, zones, hasAffinity, seed} = options;
  const random = seededRandom.createRandom(seed);
  const placement = new decisions.Placement({
    instanceId: 'entry-0',
    zone: 'zone-0',
    random,
  });
  placement.setCandidates(createCandidates(upstreams, versions, zones));
  const watched = [...placement.watchedIds()];
  const running: string[] = [];
  return timeStep(index => {
    const nowMs = index * 2;
    const choice = placement.choose(
      {
        target: `model@${Math.floor(random() * versions)}`,
        ...(hasAffinity
          ? {affinityKey: `prefix-${Math.floor(random() * PREFIXES)}`}
          : {}),
      },
      nowMs,
    );
    if (choice.kind === 'placed') {
      placement.start(choice.upstreamId, nowMs);
      running.push(choice.upstreamId);
    }
    if (running.length > 100) {
      placement.finish(running.shift() ?? '', 'answered', LATENCY_MS, nowMs);
    }
    placement.report(watched[index % watched.length] ?? '', 10, nowMs - 2000);
  });
};

/** Duration of one offer and the release of another request, in microseconds. */
const timeAdmission = (
  workspaces: number,
  load: number,
  seed: number,
): number => {
  const random = seededRandom.createRandom(seed);
  const queue = new decisions.AdmissionQueue({capacity: 64, random});
  const running: string[] = [];
  return timeStep(index => {
    const nowMs = index * 2;
    const id = `request-${index}`;
    const outcome = queue.offer(
      {
        id,
        workspace: `workspace-${Math.floor(random() * workspaces)}`,
        priority: 'interactive',
        weight: 1,
        deadlineMs: nowMs + 10_000,
        maxWaitMs: 2000,
        maxConcurrent: 100,
        maxQueued: 100,
      },
      nowMs,
    );
    if (outcome.kind === 'admitted') {
      running.push(id);
    }
    queue.expire(nowMs);
    if (running.length > 0 && random() < 1 / load) {
      const admitted = queue.release(running.shift() ?? '', nowMs);
      running.push(...admitted.map(request => request.id));
    }
  });
};

interface Watching {
  readonly watched: number;
  /** Highest number of instances that watch one upstream, over the mean. */
  readonly unevenness: number;
}

/** Upstreams that an instance watches, and how evenly watchers are spread. */
const measureWatching = (
  instances: number,
  upstreams: number,
  versions: number,
  zones: number,
): Watching => {
  const candidates = createCandidates(upstreams, versions, zones);
  const watchers = new Map<string, number>();
  let watched = 0;
  const sampled = Math.min(instances, 100);
  for (let i = 0; i < sampled; i++) {
    const placement = new decisions.Placement({
      instanceId: `entry-${i}`,
      zone: `zone-${i % zones}`,
      random: () => 0,
    });
    placement.setCandidates(candidates);
    for (const id of placement.watchedIds()) {
      watched++;
      watchers.set(id, (watchers.get(id) ?? 0) + 1);
    }
  }
  const mean = watched / upstreams;
  return {
    watched: watched / sampled,
    unevenness: Math.max(...watchers.values()) / mean,
  };
};

const costFigure = (
  figure: string,
  value: number,
  small?: number,
): figures.Figure => ({
  figure,
  value,
  unit: 'us',
  ...(small === undefined ? {} : {baseline: small}),
  target: 20,
  direction: 'at_most',
});

const ratioFigure = (figure: string, value: number): figures.Figure => ({
  figure,
  value,
  unit: 'ratio',
  target: 2,
  direction: 'at_most',
});

const measurePlacement = (
  seed: number,
  hasAffinity: boolean,
): readonly figures.Figure[] => {
  const name = hasAffinity ? 'affinity' : 'sampled';
  const common = {hasAffinity, seed};
  const time = (upstreams: number, versions: number, zones: number) =>
    timePlacement({...common, upstreams, versions, zones});
  const small = time(SMALL, 1, 3);
  const one = time(LARGE, 1, 1);
  const large = time(LARGE, VERSIONS, ZONES);
  return [
    costFigure(`placement_${name}_12`, small),
    costFigure(`placement_${name}_12000_one_version`, one, small),
    costFigure(`placement_${name}_12000`, large, small),
    ratioFigure(`placement_${name}_one_version_growth`, one / small),
    ratioFigure(`placement_${name}_growth`, large / small),
  ];
};

const measureAdmission = (seed: number): readonly figures.Figure[] => {
  const few = timeAdmission(10, 2, seed);
  const many = timeAdmission(1000, 2, seed);
  return [
    costFigure('admission_10_workspaces', few),
    costFigure('admission_1000_workspaces', many, few),
  ];
};

const measureControl = (): readonly figures.Figure[] => {
  const today = measureWatching(ENTRY_INSTANCES_SMALL, SMALL, 1, 3);
  const designed = measureWatching(
    ENTRY_INSTANCES_LARGE,
    LARGE,
    VERSIONS,
    ZONES,
  );
  const bytes = (watched: number) => (watched * REPORT_BYTES) / REPORT_PERIOD_S;
  return [
    {
      figure: 'watched_upstreams',
      value: designed.watched,
      unit: 'of 12,000',
      baseline: LARGE,
    },
    {figure: 'watched_upstreams_today', value: today.watched, unit: 'of 12'},
    {
      figure: 'watchers_max_to_mean',
      value: designed.unevenness,
      unit: 'ratio',
    },
    {
      figure: 'report_bytes_per_second',
      value: bytes(designed.watched),
      unit: 'bytes/s',
      baseline: bytes(LARGE),
      target: 4096,
      direction: 'at_most',
    },
  ];
};

/** Duration of applying a changed list of upstreams, in milliseconds. */
const measureRebuild = (): readonly figures.Figure[] => {
  const placement = new decisions.Placement({
    instanceId: 'entry-0',
    zone: 'zone-0',
    random: () => 0,
  });
  const candidates = createCandidates(LARGE, VERSIONS, ZONES);
  const times: number[] = [];
  for (let i = 0; i < 10; i++) {
    const begin = process.hrtime.bigint();
    placement.setCandidates(candidates.slice(i));
    times.push(Number(process.hrtime.bigint() - begin) / 1e6);
  }
  return [
    {
      figure: 'candidates_12000_change',
      value: statistics.percentile(times, 50),
      unit: 'ms',
    },
  ];
};

/** p99 of an upstream's load over the mean of all, with many instances. */
const measureHerd = (
  seed: number,
  createPlacement: deployment.PlacementFactory,
): number => {
  const sim = new deployment.Deployment({
    seed,
    createPlacement,
    entryInstances: HERD_INSTANCES,
    upstreams: HERD_UPSTREAMS,
    slots: SLOTS,
  });
  const ratios: number[] = [];
  sim.time.every(HERD_SAMPLE_MS, () => {
    if (sim.time.nowMs >= HERD_WARM_UP_MS) {
      const mean = statistics.mean(sim.upstreams.map(u => u.load));
      sim.upstreams.forEach(u => ratios.push(u.load / mean));
    }
  });
  sim.drive(
    () => (HERD_LOAD * sim.slots * 1000) / HERD_SERVICE_MS,
    HERD_END_MS,
    () => ({
      workspace: 'workspace',
      priority: 'interactive',
      weight: 1,
      deadlineMs: sim.time.nowMs + HERD_END_MS,
      maxWaitMs: HERD_END_MS,
      serviceMs: statistics.drawLogNormal(sim.random, HERD_SERVICE_MS, 0.5),
    }),
  );
  sim.time.runUntil(HERD_END_MS);
  return statistics.percentile(ratios, 99);
};

/** Compares 12 upstreams with 12,000. */
export const bench: figures.Bench = {
  summary: 'cost of decisions with 12 and 12,000 upstreams',
  run: seed =>
    Promise.resolve([
      ...measurePlacement(seed, false),
      ...measurePlacement(seed, true),
      ...measureAdmission(seed),
      ...measureRebuild(),
      ...measureControl(),
      {
        figure: 'load_p99_to_mean_300_instances',
        value: measureHerd(seed, deployment.createProductPlacement),
        unit: 'ratio',
        baseline: measureHerd(seed, deployment.createBaselinePlacement),
      },
    ]),
};
