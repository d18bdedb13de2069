/**
 * Exposure of callers to a new version: worse by 30, 10 and 3 points of a
 * hundred, and equally good; the driver is lost half way and another resumes
 * from the stored state.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as coarseRandom from '../models/coarse-random.js';
import * as traffic from '../models/rollout-traffic.js';

/** Share of bad answers of the old version. */
const OLD_BAD = 0.05;
const STEPS = [0.005, 0.02, 0.1, 0.5, 1];
/** Mean lateness of a rating, in seconds. */
const RATING_DELAY = 20;
/** Seconds between the baseline's steps. */
const TIMED_STEP = 600;
const GOOD_SEEDS = 1_000;
const BAD_SEEDS = 200;
/** A roll-out of a good version has to be out within this many seconds. */
const LIMIT = 14_400;

const createScenario = (worse: number): traffic.Scenario => ({
  instances: 7,
  requestRate: 20,
  oldBad: OLD_BAD,
  newBad: OLD_BAD + worse,
  ratingDelay: RATING_DELAY,
  steps: STEPS,
  limit: LIMIT,
  // Half way to the outcome, roughly: a worse version is found sooner.
  driverLostAt: Math.min(1_000, 30 / Math.max(worse, 0.01)),
  driverLostFor: 60,
});

type CreateDriver = (resumed: string | undefined) => traffic.Driver;

/** The guard; the next driver resumes from the JSON of its state. */
const createGuard =
  (scenario: traffic.Scenario): CreateDriver =>
  resumed => {
    let state = resumed
      ? (JSON.parse(resumed) as decisions.RolloutState)
      : decisions.createRolloutState();
    return {
      look(evidence) {
        const {steps, requestRate, ratingDelay} = scenario;
        const look = {steps, evidence, requestRate, ratingDelay};
        const looked = decisions.evaluateRollout(state, look);
        state = looked.state;
        const {share, kind} = looked.decision;
        return {share, stopped: kind === 'stop'};
      },
      store: () => JSON.stringify(state),
    };
  };

/** Baseline: steps by the clock, stopped when the bad rate looks doubled. */
const createTimed =
  (scenario: traffic.Scenario): CreateDriver =>
  () => ({
    look(evidence, seconds) {
      const sum = decisions.findNewEvidence({}, evidence);
      const oldRate = sum.old.bad / Math.max(1, sum.old.rated);
      const newRate = sum.new.bad / Math.max(1, sum.new.rated);
      const step = Math.floor(seconds / TIMED_STEP);
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
  const guarded = runMany(worse, BAD_SEEDS, createGuard, seed);
  const timed = runMany(worse, BAD_SEEDS, createTimed, seed);
  const bad = guarded.map(run => run.badAnswers);
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
      value: countOutcome(guarded, 'out') / BAD_SEEDS,
      unit: 'share',
      baseline: countOutcome(timed, 'out') / BAD_SEEDS,
    },
    {
      figure: `undecided_${name}`,
      value: countOutcome(guarded, 'undecided') / BAD_SEEDS,
      unit: 'share',
    },
  ];
};

const reportGood = (seed: number): readonly figures.Figure[] => {
  const timed = runMany(0, BAD_SEEDS, createTimed, seed);
  const runs = runMany(0, GOOD_SEEDS, createGuard, seed);
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

/** See the module. */
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
