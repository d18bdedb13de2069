/**
 * Cost of cascades at each workspace's quality target: ten workspaces with
 * different kinds of task. A tenth of the answers is sampled for rating; ratings
 * come late and a fifth is missing. The models drift half way.
 */
import * as heap from 'heap-js';
import * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as oracle from '../models/cascade-oracle.js';
import * as workload from '../models/cascade-workload.js';
import * as coarseRandom from '../models/coarse-random.js';
import * as seededRandom from '@amaranthknot/fakes';

const WORKSPACES = 10;
/**
 * Requests of one task in one half of the run. A workspace makes 450,000 in all,
 * a day at five a second. Learning has a fixed cost, so with fewer requests the
 * cost of each would be higher.
 */
const REQUESTS = 75_000;
const RATING_RATE = 0.1;
const MISSING_RATINGS = 0.2;
/** Mean delay of a rating, in requests of its workspace. */
const MEAN_RATING_DELAY = 300;
/** Half width of a 95% interval, in standard errors. */
const INTERVAL_HALF_WIDTH = 1.96;
const LAST = workload.STAGES.length - 1;

interface Result {
  readonly cost: number;
  readonly good: number;
  readonly count: number;
}

interface LateRating {
  readonly at: number;
  readonly rating: decisions.CascadeRating;
}

const compareLate = (a: LateRating, b: LateRating): number => a.at - b.at;

const sumOutcomes = (
  outcomes: readonly oracle.Outcome[],
  count: number,
): Result => ({
  cost: outcomes.reduce((sum, outcome) => sum + outcome.cost, 0),
  good: outcomes.reduce((sum, outcome) => sum + outcome.good, 0),
  count,
});

/** Lower confidence bound of the share of good answers, less the target. */
const findQualitySlack = (result: Result, target: number): number => {
  const share = result.good / result.count;
  const error = Math.sqrt((share * (1 - share)) / result.count);
  return share - INTERVAL_HALF_WIDTH * error - target;
};

/** Serves one half of a workspace's requests by the learning policy. */
const serveHalf = (
  policy: decisions.CascadePolicy,
  load: workload.WorkspaceLoad,
  runs: readonly workload.TaskRun[],
  random: () => number,
): oracle.Outcome => {
  const late = new heap.Heap<LateRating>(compareLate);
  let cost = 0;
  let good = 0;
  for (let i = 0; i < REQUESTS * runs.length; i++) {
    const run = runs[i % runs.length];
    if (!run) {
      continue;
    }
    const row = Math.floor(i / runs.length) * workload.STAGES.length;
    const request = {
      workspace: load.name,
      task: run.task,
      stages: workload.STAGES,
      target: load.target,
    };
    const plan = policy.choose(request, random);
    let stage = plan.startStage;
    for (;;) {
      const score = run.scores[row + stage] ?? NaN;
      const answer: decisions.CascadeAnswer = {
        workspace: load.name,
        task: run.task,
        model: workload.STAGES[stage]?.model ?? '',
        escalated: stage > plan.startStage,
        ...(Number.isNaN(score) ? {} : {score}),
      };
      cost += workload.STAGES[stage]?.cost ?? 0;
      policy.observeAnswer(answer);
      const step = decisions.nextStep(plan, stage, answer.score);
      if (step.kind === 'escalate') {
        stage = step.stage;
        continue;
      }
      const rating = run.good[row + stage] ?? 0;
      good += rating;
      if (random() < RATING_RATE * (1 - MISSING_RATINGS)) {
        const at = i + seededRandom.drawExponential(random, MEAN_RATING_DELAY);
        late.push({at, rating: {...answer, rating}});
      }
      break;
    }
    for (let next = late.peek(); next && next.at <= i; next = late.peek()) {
      late.pop();
      policy.observeRating(next.rating);
    }
  }
  return {cost, good};
};

interface Comparison {
  readonly load: workload.WorkspaceLoad;
  readonly learned: Result;
  readonly best: Result;
  readonly capable: Result;
  readonly cheapest: Result;
  readonly fixed: Result;
}

const compare = (
  load: workload.WorkspaceLoad,
  policy: decisions.CascadePolicy,
  seed: number,
  random: () => number,
): Comparison => {
  const halves = [false, true].map((drifted, half) =>
    load.tasks.map((task, index) =>
      workload.drawTaskRun(task, drifted, REQUESTS, seed + 10 * half + index),
    ),
  );
  const runs = halves.flat();
  const count = runs.length * REQUESTS;
  const replayAll = (fixed: oracle.FixedPolicy): Result =>
    sumOutcomes(
      runs.map(run => oracle.replay(run, fixed)),
      count,
    );
  return {
    load,
    learned: sumOutcomes(
      halves.map(half => serveHalf(policy, load, half, random)),
      count,
    ),
    best: sumOutcomes([oracle.findBestOutcome(runs, load.target)], count),
    capable: replayAll({startStage: LAST, thresholds: []}),
    cheapest: replayAll({startStage: 0, thresholds: [0]}),
    fixed: replayAll({startStage: 0, thresholds: [0.7, 0.7]}),
  };
};

type Policy = Exclude<keyof Comparison, 'load'>;

const sumCost = (all: readonly Comparison[], policy: Policy): number =>
  all.reduce((sum, one) => sum + one[policy].cost, 0);

const listSlacks = (
  all: readonly Comparison[],
  policy: Policy,
): readonly number[] =>
  all.map(one => findQualitySlack(one[policy], one.load.target));

const countBelowTarget = (all: readonly Comparison[], policy: Policy): number =>
  listSlacks(all, policy).filter(slack => slack < 0).length;

const report = (all: readonly Comparison[]): readonly figures.Figure[] => {
  const cost = sumCost(all, 'learned');
  const best = sumCost(all, 'best');
  const capable = sumCost(all, 'capable');
  const fixed = sumCost(all, 'fixed');
  const short = (policy: Policy): figures.Figure => ({
    figure: `workspaces_short_${policy}`,
    value: countBelowTarget(all, policy),
    unit: 'workspaces',
  });
  return [
    {
      ...short('learned'),
      target: 0,
      direction: 'at_most',
      baseline: countBelowTarget(all, 'fixed'),
    },
    {
      figure: 'quality_slack_least',
      value: Math.min(...listSlacks(all, 'learned')),
      unit: 'share',
      target: 0,
      direction: 'at_least',
      baseline: Math.min(...listSlacks(all, 'fixed')),
    },
    {
      figure: 'cost_to_hindsight',
      value: cost / best,
      unit: 'ratio',
      target: 1.1,
      direction: 'at_most',
      baseline: capable / best,
    },
    {
      figure: 'cost_to_capable',
      value: cost / capable,
      unit: 'ratio',
      target: 0.5,
      direction: 'at_most',
      baseline: 1,
    },
    {
      figure: 'fixed_cost_to_hindsight',
      value: fixed / best,
      unit: 'ratio',
    },
    {
      figure: 'hindsight_cost_to_capable',
      value: best / capable,
      unit: 'ratio',
    },
    short('capable'),
    short('cheapest'),
    short('fixed'),
  ];
};

/** Compares the learning policy with fixed ones and the best in hindsight. */
export const bench: figures.Bench = {
  summary: 'cost of cascades at each workspace quality, under drift',
  run(seed) {
    const random = coarseRandom.createCoarseRandom(seed);
    const policy = new decisions.CascadePolicy();
    const all = workload
      .createWorkspaces(WORKSPACES, random)
      .map((load, i) => compare(load, policy, 1000 * seed + 100 * i, random));
    return Promise.resolve(report(all));
  },
};
