/**
 * The best fixed cascade in hindsight: for each task and half of a run, the
 * starting stage and thresholds with the lowest cost at which the workspace as
 * a whole just meets its target. They are chosen with every answer known.
 */
import * as workload from './cascade-workload.js';

/** Total cost and number of good answers. */
export interface Outcome {
  readonly cost: number;
  readonly good: number;
}

/** A fixed policy: the starting stage, and the lowest accepted score by stage. */
export interface FixedPolicy {
  readonly startStage: number;
  readonly thresholds: readonly number[];
}

const THRESHOLDS = [
  0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 2,
];
const LAST = workload.STAGES.length - 1;
const COSTS = workload.STAGES.map(stage => stage.cost);
const STAGE_COUNT = COSTS.length;
const PRICE_ROUNDS = 40;

/** Index of the highest threshold that a score reaches. */
const findLevel = (score: number): number => {
  let level = 0;
  while (
    level + 1 < THRESHOLDS.length &&
    score >= (THRESHOLDS[level + 1] ?? 2)
  ) {
    level++;
  }
  return level;
};

/**
 * A table cell counts the requests with one pair of levels of the first two
 * scores, and for each stage the good answers among them.
 */
const CELL_LENGTH = 1 + STAGE_COUNT;

const tabulate = (run: workload.TaskRun): Float64Array => {
  const table = new Float64Array(
    THRESHOLDS.length * THRESHOLDS.length * CELL_LENGTH,
  );
  for (let i = 0; i < run.count; i++) {
    const row = i * STAGE_COUNT;
    const first = findLevel(run.scores[row] ?? 0);
    const second = findLevel(run.scores[row + 1] ?? 0);
    const cell = (first * THRESHOLDS.length + second) * CELL_LENGTH;
    table[cell] = (table[cell] ?? 0) + 1;
    for (let stage = 0; stage < STAGE_COUNT; stage++) {
      const at = cell + 1 + stage;
      table[at] = (table[at] ?? 0) + (run.good[row + stage] ?? 0);
    }
  }
  return table;
};

const replayTable = (table: Float64Array, policy: FixedPolicy): Outcome => {
  let cost = 0;
  let good = 0;
  for (let cell = 0; cell < table.length; cell += CELL_LENGTH) {
    const index = cell / CELL_LENGTH;
    const levels = [
      Math.floor(index / THRESHOLDS.length),
      index % THRESHOLDS.length,
    ];
    const count = table[cell] ?? 0;
    for (let stage = policy.startStage; stage <= LAST; stage++) {
      cost += count * (COSTS[stage] ?? 0);
      const reached = THRESHOLDS[levels[stage] ?? 0] ?? 0;
      if (stage === LAST || reached >= (policy.thresholds[stage] ?? 0)) {
        good += table[cell + 1 + stage] ?? 0;
        break;
      }
    }
  }
  return {cost, good};
};

/** Outcome of a policy whose thresholds are all in `THRESHOLDS`. */
export const replay = (run: workload.TaskRun, policy: FixedPolicy): Outcome =>
  replayTable(tabulate(run), policy);

const POLICIES: readonly FixedPolicy[] = [
  ...THRESHOLDS.flatMap(first =>
    THRESHOLDS.map(second => ({startStage: 0, thresholds: [first, second]})),
  ),
  ...THRESHOLDS.map(second => ({startStage: 1, thresholds: [0, second]})),
  {startStage: LAST, thresholds: []},
];

const sumBestOutcomes = (
  options: readonly (readonly Outcome[])[],
  price: number,
): Outcome => {
  let cost = 0;
  let good = 0;
  for (const outcomes of options) {
    let best: Outcome = {cost: Infinity, good: 0};
    for (const outcome of outcomes) {
      const loss = outcome.cost - price * outcome.good;
      if (loss < best.cost - price * best.good) {
        best = outcome;
      }
    }
    cost += best.cost;
    good += best.good;
  }
  return {cost, good};
};

/** Interpolates between the policies below and above the target. */
const interpolate = (below: Outcome, above: Outcome, good: number): Outcome => {
  if (above.good <= good || above.good <= below.good) {
    return above;
  }
  const share = Math.max(0, (good - below.good) / (above.good - below.good));
  return {
    cost: below.cost + share * (above.cost - below.cost),
    good: below.good + share * (above.good - below.good),
  };
};

/**
 * Lowest cost of a workspace's runs at which the fraction `target` of the
 * answers is good. Searches for the price of a good answer that gives it.
 */
export const findBestOutcome = (
  runs: readonly workload.TaskRun[],
  target: number,
): Outcome => {
  const options = runs.map(run => {
    const table = tabulate(run);
    return POLICIES.map(policy => replayTable(table, policy));
  });
  const count = runs.reduce((sum, run) => sum + run.count, 0);
  let low = 0.01;
  let high = 10_000;
  for (let round = 0; round < PRICE_ROUNDS; round++) {
    const middle = Math.sqrt(low * high);
    const enough = sumBestOutcomes(options, middle).good >= target * count;
    [low, high] = enough ? [low, middle] : [middle, high];
  }
  return interpolate(
    sumBestOutcomes(options, low),
    sumBestOutcomes(options, high),
    target * count,
  );
};
