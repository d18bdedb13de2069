/** Mixed load: 5% long requests, 95% short ones, including door checks. */
import type * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as deployment from '../models/deployment.js';
import type * as entryModel from '../models/entry-model.js';
import * as statistics from '../models/statistics.js';

const SHORT_MS = 500;
const LONG_MS = 10_000;
const DOOR_CHECK_MS = 200;
const SIGMA = 0.4;
const LONG_SHARE = 0.05;
const DOOR_CHECK_SHARE = 0.1;
const DEADLINE_MS = 60_000;
const DOOR_CHECK_DEADLINE_MS = 5000;
/** Offered load as a ratio to the capacity of all slots. */
const LOAD = 0.9;
const OVERLOAD = 1.3;
const WARM_UP_MS = 30_000;
const END_MS = 180_000;

interface Kind {
  readonly priority: decisions.AdmissionPriority;
  readonly workspace: string;
  readonly meanMs: number;
  readonly deadlineMs: number;
}

const DOOR_CHECK: Kind = {
  priority: 'door_check',
  workspace: 'meetups',
  meanMs: DOOR_CHECK_MS,
  deadlineMs: DOOR_CHECK_DEADLINE_MS,
};

const drawKind = (random: () => number): Kind => {
  const draw = random();
  const workspace = `workspace-${Math.floor(random() * 9)}`;
  if (draw < DOOR_CHECK_SHARE) {
    return DOOR_CHECK;
  }
  return draw < 1 - LONG_SHARE
    ? {
        priority: 'interactive',
        workspace,
        meanMs: SHORT_MS,
        deadlineMs: DEADLINE_MS,
      }
    : {
        priority: 'batch',
        workspace,
        meanMs: LONG_MS,
        deadlineMs: DEADLINE_MS,
      };
};

const MEAN_MS =
  DOOR_CHECK_SHARE * DOOR_CHECK_MS +
  LONG_SHARE * LONG_MS +
  (1 - LONG_SHARE - DOOR_CHECK_SHARE) * SHORT_MS;

interface Mode {
  readonly seed: number;
  readonly isProduct: boolean;
  readonly load: number;
  readonly onlyDoorChecks: boolean;
}

const runOnce = (mode: Mode): readonly entryModel.CallerOutcome[] => {
  const sim = new deployment.Deployment({
    seed: mode.seed,
    ...(mode.isProduct
      ? {}
      : {
          createAdmission: deployment.createBaselineAdmission,
          createPlacement: deployment.createBaselinePlacement,
        }),
  });
  const rate = (mode.load * sim.slots * 1000) / MEAN_MS;
  sim.drive(
    () => (mode.onlyDoorChecks ? rate * DOOR_CHECK_SHARE : rate),
    END_MS,
    () => {
      const kind = mode.onlyDoorChecks ? DOOR_CHECK : drawKind(sim.random);
      return {
        workspace: kind.workspace,
        priority: kind.priority,
        weight: 1,
        deadlineMs: sim.time.nowMs + kind.deadlineMs,
        maxWaitMs: kind.deadlineMs,
        expectedServiceMs: kind.meanMs,
        serviceMs: statistics.drawLogNormal(sim.random, kind.meanMs, SIGMA),
      };
    },
  );
  sim.time.runUntil(END_MS + DEADLINE_MS);
  return sim.outcomes.filter(o => o.request.offeredMs >= WARM_UP_MS);
};

const ofPriority = (
  outcomes: readonly entryModel.CallerOutcome[],
  priority: decisions.AdmissionPriority,
): readonly entryModel.CallerOutcome[] =>
  outcomes.filter(o => o.request.priority === priority);

/** p99 latency; a refused request counts with its deadline. */
const p99 = (
  outcomes: readonly entryModel.CallerOutcome[],
  priority: decisions.AdmissionPriority,
): number =>
  statistics.percentile(
    ofPriority(outcomes, priority).map(o =>
      o.kind === 'answered'
        ? o.totalMs
        : o.request.deadlineMs - o.request.offeredMs,
    ),
    99,
  );

const answeredShare = (
  outcomes: readonly entryModel.CallerOutcome[],
  priority: decisions.AdmissionPriority,
): number => {
  const offered = ofPriority(outcomes, priority);
  return offered.filter(o => o.kind === 'answered').length / offered.length;
};

const PRIORITIES = ['door_check', 'interactive', 'batch'] as const;

const report = (
  name: string,
  product: readonly entryModel.CallerOutcome[],
  baseline: readonly entryModel.CallerOutcome[],
  unloaded: readonly entryModel.CallerOutcome[],
): readonly figures.Figure[] => [
  {
    figure: `door_check_p99_to_unloaded_${name}`,
    value: p99(product, 'door_check') / p99(unloaded, 'door_check'),
    unit: 'ratio',
    baseline: p99(baseline, 'door_check') / p99(unloaded, 'door_check'),
    target: 2,
    direction: 'at_most',
  },
  ...PRIORITIES.flatMap((priority): readonly figures.Figure[] => [
    {
      figure: `${priority}_p99_${name}`,
      value: p99(product, priority),
      unit: 'ms',
      baseline: p99(baseline, priority),
    },
    {
      figure: `${priority}_answered_${name}`,
      value: answeredShare(product, priority),
      unit: 'of offered',
      baseline: answeredShare(baseline, priority),
    },
  ]),
];

/** Compares the product with the baseline, busy and overloaded. */
export const bench: figures.Bench = {
  summary: '5% long work, 95% short, door checks among them',
  run: seed => {
    const run = (load: number, isProduct: boolean) =>
      runOnce({seed, isProduct, load, onlyDoorChecks: false});
    const unloaded = runOnce({
      seed,
      isProduct: true,
      load: LOAD,
      onlyDoorChecks: true,
    });
    return Promise.resolve([
      {
        figure: 'door_check_p99_unloaded',
        value: p99(unloaded, 'door_check'),
        unit: 'ms',
      },
      ...report('busy', run(LOAD, true), run(LOAD, false), unloaded),
      ...report('full', run(OVERLOAD, true), run(OVERLOAD, false), unloaded),
    ]);
  },
};
