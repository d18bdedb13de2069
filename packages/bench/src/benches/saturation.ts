/** Twice the capacity for 10 minutes: queues must not grow, nor work end late. */
import type * as figures from '../figure.js';
import * as deployment from '../models/deployment.js';
import * as statistics from '../models/statistics.js';

const SERVICE_MS = 800;
const SERVICE_SIGMA = 0.5;
const DEADLINE_MS = 6000;
const MAX_WAIT_MS = 2000;
const LOAD = 2;
const END_MS = 600_000;
const SAMPLE_MS = 500;
/** Start of the run, which is left out of the queue lengths. */
const WARM_UP_MS = 60_000;

interface Run {
  readonly goodput: number;
  readonly lateWork: number;
  readonly queuedEarly: number;
  readonly queuedLate: number;
  readonly waitP99: number;
  readonly refusalP99: number;
  /** Slot time of requests that timed out, over the slot time of all. */
  readonly wasted: number;
}

const runOnce = (seed: number, isProduct: boolean): Run => {
  const sim = new deployment.Deployment({
    seed,
    ...(isProduct
      ? {}
      : {
          createAdmission: deployment.createBaselineAdmission,
          createPlacement: deployment.createBaselinePlacement,
          cancelsLateWork: false,
        }),
  });
  const capacity = (sim.slots * 1000) / SERVICE_MS;
  const samples: {readonly atMs: number; readonly queued: number}[] = [];
  sim.time.every(SAMPLE_MS, () => {
    const queued = sim.admissions.reduce(
      (n, admission) => n + admission.queued,
      0,
    );
    samples.push({atMs: sim.time.nowMs, queued});
  });
  sim.drive(
    () => LOAD * capacity,
    END_MS,
    () => ({
      workspace: `workspace-${Math.floor(sim.random() * 10)}`,
      priority: 'interactive',
      weight: 1,
      deadlineMs: sim.time.nowMs + DEADLINE_MS,
      maxWaitMs: MAX_WAIT_MS,
      serviceMs: statistics.drawLogNormal(
        sim.random,
        SERVICE_MS,
        SERVICE_SIGMA,
      ),
    }),
  );
  sim.time.runUntil(END_MS);
  const {outcomes} = sim;
  const answered = outcomes.filter(o => o.kind === 'answered');
  const timedOut = outcomes.filter(o => o.kind === 'timed_out');
  const refused = outcomes.filter(o => o.kind === 'refused');
  const middleMs = (WARM_UP_MS + END_MS) / 2;
  const maxOf = (fromMs: number, toMs: number) =>
    samples
      .filter(s => s.atMs >= fromMs && s.atMs < toMs)
      .reduce((most, s) => Math.max(most, s.queued), 0);
  const slotTime = (list: typeof outcomes) =>
    list.reduce((sum, o) => sum + o.totalMs - o.waitMs, 0);
  return {
    goodput: answered.length / ((END_MS / 1000) * capacity),
    lateWork: sim.entries.reduce((n, entry) => n + entry.lateWork, 0),
    queuedEarly: maxOf(WARM_UP_MS, middleMs),
    queuedLate: maxOf(middleMs, END_MS),
    waitP99: statistics.percentile(
      answered.map(o => o.waitMs),
      99,
    ),
    refusalP99: statistics.percentile(
      refused.map(o => o.totalMs),
      99,
    ),
    wasted: slotTime(timedOut) / (slotTime(timedOut) + slotTime(answered)),
  };
};

/** Compares the product with the baseline. */
export const bench: figures.Bench = {
  summary: '2 times capacity for 10 minutes of virtual time',
  run: seed => {
    const product = runOnce(seed, true);
    const baseline = runOnce(seed, false);
    return Promise.resolve([
      {
        figure: 'queue_growth',
        value: product.queuedLate / product.queuedEarly,
        unit: 'ratio',
        baseline: baseline.queuedLate / baseline.queuedEarly,
        target: 1.1,
        direction: 'at_most',
      },
      {
        figure: 'queued_max',
        value: product.queuedLate,
        unit: 'requests',
        baseline: baseline.queuedLate,
      },
      {
        figure: 'work_after_deadline',
        value: product.lateWork,
        unit: 'requests',
        baseline: baseline.lateWork,
        target: 0,
        direction: 'at_most',
      },
      {
        figure: 'wasted_slot_time',
        value: product.wasted,
        unit: 'of slot time',
        baseline: baseline.wasted,
      },
      {
        figure: 'goodput',
        value: product.goodput,
        unit: 'of capacity',
        baseline: baseline.goodput,
      },
      {
        figure: 'wait_p99',
        value: product.waitP99,
        unit: 'ms',
        baseline: baseline.waitP99,
      },
      {figure: 'refusal_delay_p99', value: product.refusalP99, unit: 'ms'},
    ]);
  },
};
