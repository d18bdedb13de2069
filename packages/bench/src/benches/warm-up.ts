/**
 * A cold upstream with 7 and with 1,000 entry instances whose views of each
 * other differ. Reports the requests of all instances against the upstream's
 * capacity, and the time to full use; also when it becomes cold again without
 * notice.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as figures from '../figure.js';
import * as coldUpstream from '../models/cold-upstream.js';
import * as seededRandom from '@amaranthknot/fakes';

const CURVE: decisions.WarmUpCurve = {
  coldSlots: 4,
  fullSlots: 64,
  warmMs: 60_000,
};
const FULL_USE = 0.9;
/** Time at which the capacity reaches nine tenths of full use. */
const SHORTEST_MS =
  (CURVE.warmMs * (FULL_USE * CURVE.fullSlots - CURVE.coldSlots)) /
  (CURVE.fullSlots - CURVE.coldSlots);

const createScenario = (
  instances: number,
  changes: Partial<coldUpstream.WarmUpScenario> = {},
): coldUpstream.WarmUpScenario => ({
  instances,
  curve: CURVE,
  timing: {termMs: 1_000, drainMs: 5_000, viewLagMs: 3_000},
  workMs: 800,
  replaceEveryMs: 4_000,
  viewLagMs: 3_000,
  lost: 0.02,
  lengthMs: 120_000,
  ...changes,
});

/** Baseline: each sender uses the full capacity, as if it were the only one. */
const warmAlone: coldUpstream.Allowance = (_sender, _view, ageMs) =>
  decisions.findWarmUpSlots(CURVE, ageMs);

/** Alternative without messages: divides the slots, the rest by rank. */
const shareByRank =
  (instances: number): coldUpstream.Allowance =>
  (sender, ranks, ageMs) => {
    const bearable = decisions.findWarmUpSlots(CURVE, ageMs);
    const rank = ranks.indexOf(sender.id);
    const rest = bearable % instances;
    const extra = rank >= 0 && rank < rest ? 1 : 0;
    return Math.floor(bearable / instances) + extra;
  };

const reportFleet = (
  instances: number,
  seed: number,
): readonly figures.Figure[] => {
  const random = seededRandom.createRandom(seed);
  const scenario = createScenario(instances);
  const granted = coldUpstream.runWarmUp(scenario, random);
  const alone = coldUpstream.runWarmUp(
    createScenario(instances, {lengthMs: 5_000}),
    random,
    warmAlone,
  );
  const ranked = coldUpstream.runWarmUp(
    scenario,
    random,
    shareByRank(instances),
  );
  const again = coldUpstream.runWarmUp(
    createScenario(instances, {
      coldAgainAtMs: 80_000,
      maxNoticeMs: 1_000,
      lengthMs: 200_000,
    }),
    random,
  );
  return [
    {
      figure: `work_to_bound_highest_${instances}`,
      value: granted.maxLoadRatio,
      unit: 'ratio',
      target: 1,
      direction: 'at_most',
      baseline: alone.maxLoadRatio,
    },
    {
      figure: `work_to_bound_highest_by_rank_${instances}`,
      value: ranked.maxLoadRatio,
      unit: 'ratio',
    },
    {
      figure: `time_to_full_use_${instances}`,
      value: granted.fullAtMs / SHORTEST_MS,
      unit: 'ratio',
      target: 1.5,
      direction: 'at_most',
    },
    {
      figure: `cold_again_cut_after_${instances}`,
      value: again.lastExcessMs,
      unit: 'ms',
    },
    {
      figure: `cold_again_time_to_full_use_${instances}`,
      value: again.fullAtMs / SHORTEST_MS,
      unit: 'ratio',
      target: 1.5,
      direction: 'at_most',
    },
    {
      figure: `messages_per_second_${instances}`,
      value: granted.messages / (scenario.lengthMs / 1000),
      unit: '/s',
    },
  ];
};

/** Compares grants with senders on their own and with division by rank. */
export const bench: figures.Bench = {
  summary: 'work sent to a cold upstream by all instances together',
  run(seed) {
    return Promise.resolve([
      ...reportFleet(7, seed),
      ...reportFleet(1_000, seed),
    ]);
  },
};
