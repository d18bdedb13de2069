/**
 * Bad answers that callers get from a new version that is worse by 30, 10 and 3
 * percentage points, and the fate of one that is equally good. The driver of the
 * rollout is lost half way, and another resumes from the stored state.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as coarseRandom from '../models/coarse-random.js';
import * as traffic from '../models/rollout-traffic.js';

/** Fraction of bad answers of the old version. */
const OLD_BAD = 0.05;
const STEPS = [0.005, 0.02, 0.1, 0.5, 1];
/** Mean delay of a rating, in seconds. */
const RATING_DELAY_S = 20;
/** Time between steps of the baseline, in seconds. */
const TIMED_STEP_S = 600;
const GOOD_SEEDS = 1_000;
const BAD_SEEDS = 200;
/** Time within which the rollout of a good version must finish, in seconds. */
const TIME_LIMIT_S = 14_400;

const createScenario = (worse: number): traffic.Scenario => ({
  instances: 7,
  requestRate: 20,
  oldBad: OLD_BAD,
  newBad: OLD_BAD + worse,
  ratingDelay: RATING_DELAY_S,
  steps: STEPS,
  limit: TIME_LIMIT_S,
  // Roughly half way to the outcome; a worse version is detected sooner.
  driverLostAt: Math.min(1_000, 30 / Math.max(worse, 0.01)),
  driverLostFor: 60,
});

type CreateDriver = (resumed: string | undefined) => traffic.Driver;

/** The product's evaluation; the next driver resumes from its state as JSON. */
const createProductDriver =
  (scenario: traffic.Scenario): CreateDriver =>
  resumed => {
    let state = resumed
      ? (JSON.parse(resumed) as decisions.RolloutState)
      : decisions.createRolloutState();
    return {
      evaluate(evidence) {
        const {steps, requestRate, ratingDelay} = scenario;
        const input = {steps, evidence, requestRate, ratingDelay};
        const evaluation = decisions.evaluateRollout(state, input);
        state = evaluation.state;
        const {share, kind} = evaluation.decision;
        return {share, stopped: kind === 'stop'};
      },
      store: () => JSON.stringify(state),
    };
  };

/** Baseline: timed steps; stops when the rate of bad answers is doubled. */
const createTimedDriver =
  (scenario: traffic.Scenario): CreateDriver =>
  () => ({
    evaluate(evidence, seconds) {
      const sum = decisions.findNewEvidence({}, evidence);
      const oldRate = sum.old.bad / Math.max(1, sum.old.rated);
      const newRate = sum.new.bad / Math.max(1, sum.new.rated);
      const step = Math.floor(seconds / TIMED_STEP_S);
      return {
        share: scenario.steps[step] ?? 1,
        stopped: sum.new.rated >= 20 && newRate > 2 * oldRate,
      };
    },
    store: () => '',
  });

const runMany = (
  worse: number,
  seeds: number,
  create: (scenario: traffic.Scenario) => CreateDriver,
  seed: number,
): readonly traffic.RolloutRun[] => {
  const scenario = createScenario(worse);
  return Array.from({length: seeds}, (_, i) =>
    traffic.runRollout(
      scenario,
      create(scenario),
      coarseRandom.createCoarseRandom(seed * 100_000 + i),
    ),
  );
};

const quantile = (values: readonly number[], q: number): number => {
  const sorted = values.toSorted((a, b) => a - b);
  return (
    sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? 0
  );
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const countOutcome = (
  runs: readonly traffic.RolloutRun[],
  outcome: traffic.RolloutRun['outcome'],
): number => runs.filter(run => run.outcome === outcome).length;

const reportWorse = (
  name: string,
  worse: number,
  target: number,
  seed: number,
): readonly figures.Figure[] => {
  const product = runMany(worse, BAD_SEEDS, createProductDriver, seed);
  const timed = runMany(worse, BAD_SEEDS, createTimedDriver, seed);
  const bad = product.map(run => run.badAnswers);
  return [
    {
      figure: `bad_answers_p95_${name}`,
      value: quantile(bad, 0.95),
      unit: 'answers',
      target,
      direction: 'at_most',
      baseline: quantile(
        timed.map(run => run.badAnswers),
        0.95,
      ),
    },
    {
      figure: `bad_answers_most_${name}`,
      value: Math.max(...bad),
      unit: 'answers',
    },
    {figure: `bad_answers_mean_${name}`, value: mean(bad), unit: 'answers'},
    {
      figure: `fully_out_${name}`,
      value: countOutcome(product, 'out') / BAD_SEEDS,
      unit: 'share',
      baseline: countOutcome(timed, 'out') / BAD_SEEDS,
    },
    {
      figure: `undecided_${name}`,
      value: countOutcome(product, 'undecided') / BAD_SEEDS,
      unit: 'share',
    },
  ];
};

const reportGood = (seed: number): readonly figures.Figure[] => {
  const timed = runMany(0, BAD_SEEDS, createTimedDriver, seed);
  const runs = runMany(0, GOOD_SEEDS, createProductDriver, seed);
  const out = runs.filter(run => run.outcome === 'out');
  return [
    {
      figure: 'good_stopped',
      value: countOutcome(runs, 'stopped') / GOOD_SEEDS,
      unit: 'share',
      target: 0.01,
      direction: 'at_most',
      baseline: countOutcome(timed, 'stopped') / BAD_SEEDS,
    },
    {
      figure: 'good_out_in_time',
      value: countOutcome(runs, 'out') / GOOD_SEEDS,
      unit: 'share',
      target: 0.99,
      direction: 'at_least',
    },
    {
      figure: 'good_out_p99',
      value: quantile(
        out.map(run => run.seconds),
        0.99,
      ),
      unit: 's',
    },
  ];
};

/** Compares the product's rollout evaluation with timed steps. */
export const bench: figures.Bench = {
  summary: 'bad answers before a worse version is stopped',
  run(seed) {
    return Promise.resolve([
      ...reportWorse('30_points', 0.3, 60, seed),
      ...reportWorse('10_points', 0.1, 150, seed),
      ...reportWorse('3_points', 0.03, 400, seed),
      ...reportGood(seed),
    ]);
  },
};
