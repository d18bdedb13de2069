/** One of 8 upstreams becomes 10 times slower while load reports lag by 2 s. */
import type * as figures from '../figure.js';
import * as deployment from '../models/deployment.js';
import type * as entryModel from '../models/entry-model.js';
import * as statistics from '../models/statistics.js';

const SERVICE_MS = 800;
const SERVICE_SIGMA = 0.5;
const DEADLINE_MS = 30_000;
const LOAD = 0.6;
const SLOWDOWN = 10;
const ONSET_MS = 30_000;
const END_MS = 90_000;

interface Mode {
  readonly seed: number;
  readonly createPlacement: deployment.PlacementFactory;
  readonly slowdown: number;
}

const runOnce = (mode: Mode): readonly entryModel.CallerOutcome[] => {
  const sim = new deployment.Deployment({...mode});
  const rate = (LOAD * sim.slots * 1000) / SERVICE_MS;
  const [slow] = sim.upstreams;
  sim.time.at(ONSET_MS, () => {
    if (slow) {
      slow.slowdown = mode.slowdown;
    }
  });
  sim.drive(
    () => rate,
    END_MS,
    () => ({
      workspace: `workspace-${Math.floor(sim.random() * 10)}`,
      priority: 'interactive',
      weight: 1,
      deadlineMs: sim.time.nowMs + DEADLINE_MS,
      maxWaitMs: DEADLINE_MS,
      serviceMs: statistics.drawLogNormal(
        sim.random,
        SERVICE_MS,
        SERVICE_SIGMA,
      ),
    }),
  );
  sim.time.runUntil(END_MS + DEADLINE_MS);
  return sim.outcomes.filter(o => o.request.offeredMs >= ONSET_MS);
};

const p99 = (outcomes: readonly entryModel.CallerOutcome[]): number =>
  statistics.percentile(
    outcomes.map(o => o.totalMs),
    99,
  );

/** Checks that one slow upstream doesn't dominate the tail latency. */
export const bench: figures.Bench = {
  summary: 'one of 8 upstreams turns 10 times slower, reports lag by 2 s',
  run: seed => {
    const createPlacement = deployment.createProductPlacement;
    const random = deployment.createBaselinePlacement;
    const slow = runOnce({seed, createPlacement, slowdown: SLOWDOWN});
    const sound = runOnce({seed, createPlacement, slowdown: 1});
    const randomSlow = runOnce({
      seed,
      createPlacement: random,
      slowdown: SLOWDOWN,
    });
    const answered = slow.filter(o => o.kind === 'answered').length;
    return Promise.resolve([
      {
        figure: 'p99_to_sound',
        value: p99(slow) / p99(sound),
        unit: 'ratio',
        baseline: p99(randomSlow) / p99(sound),
        target: 1.3,
        direction: 'at_most',
      },
      {
        figure: 'p99_to_random',
        value: p99(slow) / p99(randomSlow),
        unit: 'ratio',
        target: 0.5,
        direction: 'at_most',
      },
      {
        figure: 'p99',
        value: p99(slow),
        unit: 'ms',
        baseline: p99(randomSlow),
      },
      {figure: 'p99_sound', value: p99(sound), unit: 'ms'},
      {
        figure: 'p99_9',
        value: statistics.percentile(
          slow.map(o => o.totalMs),
          99.9,
        ),
        unit: 'ms',
      },
      {
        figure: 'answered_share',
        value: answered / slow.length,
        unit: 'of offered',
        baseline:
          randomSlow.filter(o => o.kind === 'answered').length /
          randomSlow.length,
      },
    ]);
  },
};
