/** Load of five times the capacity for 30 s: answers, waits and refusals. */
import type * as figures from '../figure.js';
import * as deployment from '../models/deployment.js';
import type * as entryModel from '../models/entry-model.js';
import * as statistics from '../models/statistics.js';

const SERVICE_MS = 800;
const SERVICE_SIGMA = 0.5;
const DEADLINE_MS = 6000;
const MAX_WAIT_MS = 2000;
const WORKSPACES = 10;
const LARGE_WORKSPACES = 2;
const LARGE_SHARE = 0.8;
const BURST_LOAD = 5;
/** Load at which the small workspaces ask for less than their fair share. */
const MILD_BURST_LOAD = 3;
const LOAD_BEFORE = 0.5;
const LOAD_AFTER = 0.8;
const BURST_START_MS = 10_000;
const BURST_END_MS = 40_000;
const END_MS = 70_000;
const SETTLE_MS = 3000;
/** Fraction of attempts that overloaded upstreams reject. */
const FAILURE_SHARE = 0.2;
/** How often a refused caller retries at most, and how probably. */
const MAX_RETURNS = 1;
const RETURN_SHARE = 0.5;

interface Run {
  readonly outcomes: readonly entryModel.CallerOutcome[];
  readonly capacity: number;
  /** First attempts, and retries, during the burst. */
  readonly attempts: number;
  readonly retries: number;
  readonly lateWork: number;
  readonly returns: number;
  readonly maxQueued: number;
}

interface Mode {
  readonly seed: number;
  readonly isProduct: boolean;
  readonly hasLarge: boolean;
  readonly burst?: number;
}

const isLarge = (workspace: string): boolean => workspace.startsWith('large');

const drawWorkspace = (random: () => number): string =>
  random() < LARGE_SHARE
    ? `large-${Math.floor(random() * LARGE_WORKSPACES)}`
    : `small-${Math.floor(random() * (WORKSPACES - LARGE_WORKSPACES))}`;

const loadAt = (nowMs: number, burst: number): number => {
  if (nowMs < BURST_START_MS) {
    return LOAD_BEFORE;
  }
  return nowMs < BURST_END_MS ? burst : LOAD_AFTER;
};

const isInBurst = (nowMs: number): boolean =>
  nowMs >= BURST_START_MS && nowMs < BURST_END_MS;

const runOnce = ({
  seed,
  isProduct,
  hasLarge,
  burst = BURST_LOAD,
}: Mode): Run => {
  const failureShare = (nowMs: number) =>
    isInBurst(nowMs) ? FAILURE_SHARE : 0;
  const sim = new deployment.Deployment({
    seed,
    failureShare,
    ...(isProduct
      ? {}
      : {
          createAdmission: deployment.createBaselineAdmission,
          createPlacement: deployment.createBaselinePlacement,
          createRetrier: deployment.createBaselineRetrier,
          cancelsLateWork: false,
        }),
  });
  const capacity = (sim.slots * 1000) / SERVICE_MS;
  let returns = 0;
  const returned = new Map<string, number>();
  sim.onOutcome = outcome => {
    const {request} = outcome;
    const times = returned.get(request.id) ?? 0;
    const comesBack = sim.random() < RETURN_SHARE && times < MAX_RETURNS;
    if (outcome.kind !== 'refused' || !comesBack) {
      return;
    }
    returns++;
    const id = `${request.id}-again`;
    returned.set(id, times + 1);
    sim.time.after(outcome.retryAfterMs ?? 0, () => {
      const offeredMs = sim.time.nowMs;
      const deadlineMs = offeredMs + DEADLINE_MS;
      const index = Math.floor(sim.random() * sim.entries.length);
      sim.entries[index]?.offer({...request, id, offeredMs, deadlineMs});
    });
  };
  sim.drive(
    nowMs => loadAt(nowMs, burst) * capacity * (hasLarge ? 1 : 1 - LARGE_SHARE),
    END_MS,
    () => {
      const workspace = hasLarge
        ? drawWorkspace(sim.random)
        : `small-${Math.floor(sim.random() * (WORKSPACES - LARGE_WORKSPACES))}`;
      return {
        workspace,
        priority: 'interactive',
        weight: 1,
        deadlineMs: sim.time.nowMs + DEADLINE_MS,
        maxWaitMs: MAX_WAIT_MS,
        serviceMs: statistics.drawLogNormal(
          sim.random,
          SERVICE_MS,
          SERVICE_SIGMA,
        ),
      };
    },
  );
  const sum = (pick: (entry: entryModel.EntryModel) => number) =>
    sim.entries.reduce((total, entry) => total + pick(entry), 0);
  let attemptsBefore = 0;
  let retriesBefore = 0;
  sim.time.at(BURST_START_MS, () => {
    attemptsBefore = sum(entry => entry.attempts);
    retriesBefore = sum(entry => entry.retries);
  });
  let attempts = 0;
  let retries = 0;
  sim.time.at(BURST_END_MS, () => {
    attempts = sum(entry => entry.attempts) - attemptsBefore;
    retries = sum(entry => entry.retries) - retriesBefore;
  });
  let maxQueued = 0;
  sim.time.every(100, () => {
    const queued = sim.admissions.reduce(
      (sum, admission) => sum + admission.queued,
      0,
    );
    maxQueued = Math.max(maxQueued, queued);
  });
  sim.time.runUntil(END_MS + DEADLINE_MS);
  return {
    outcomes: sim.outcomes,
    capacity,
    attempts,
    retries,
    lateWork: sum(entry => entry.lateWork),
    returns,
    maxQueued,
  };
};

/** Answers per second within their deadline, in a period. */
const goodput = (run: Run, fromMs: number, toMs: number): number =>
  run.outcomes.filter(
    o => o.kind === 'answered' && o.endedMs >= fromMs && o.endedMs < toMs,
  ).length /
  ((toMs - fromMs) / 1000);

const smallGoodput = (run: Run): number => {
  const small = run.outcomes.filter(o => !isLarge(o.request.workspace));
  return burstGoodput({...run, outcomes: small});
};

/** Goodput in the burst over capacity; rejected attempts use no slots. */
const burstGoodput = (run: Run): number =>
  goodput(run, BURST_START_MS + SETTLE_MS, BURST_END_MS) / run.capacity;

const afterGoodput = (run: Run): number =>
  goodput(run, BURST_END_MS + SETTLE_MS, END_MS) / (run.capacity * LOAD_AFTER);

const smallWaitP99 = (run: Run): number =>
  statistics.percentile(
    run.outcomes
      .filter(o => !isLarge(o.request.workspace))
      .filter(o => isInBurst(o.request.offeredMs) && o.kind !== 'refused')
      .map(o => o.waitMs),
    99,
  );

const shareOf = (
  run: Run,
  kind: entryModel.CallerOutcome['kind'],
  isCounted: (outcome: entryModel.CallerOutcome) => boolean,
): number => {
  const counted = run.outcomes.filter(isCounted);
  const matching = counted.filter(o => o.kind === kind).length;
  return matching / Math.max(1, counted.length);
};

const isSmallInBurst = (o: entryModel.CallerOutcome): boolean =>
  !isLarge(o.request.workspace) && isInBurst(o.request.offeredMs);

const refusalDelays = (run: Run): readonly number[] =>
  run.outcomes.filter(o => o.kind === 'refused').map(o => o.totalMs);

/** Compares the product with the baseline, and with small workspaces alone. */
export const bench: figures.Bench = {
  summary: '5 times capacity for 30 s, two workspaces with 80% of it',
  run: seed => {
    const product = runOnce({seed, isProduct: true, hasLarge: true});
    const alone = runOnce({seed, isProduct: true, hasLarge: false});
    const baseline = runOnce({seed, isProduct: false, hasLarge: true});
    const mild = runOnce({
      seed,
      isProduct: true,
      hasLarge: true,
      burst: MILD_BURST_LOAD,
    });
    const mildAlone = runOnce({
      seed,
      isProduct: true,
      hasLarge: false,
      burst: MILD_BURST_LOAD,
    });
    const refused = product.outcomes.filter(o => o.kind === 'refused');
    const withRetryAfter = refused.filter(
      o => (o.retryAfterMs ?? 0) > 0,
    ).length;
    return Promise.resolve([
      {
        figure: 'goodput_in_burst',
        value: burstGoodput(product),
        unit: 'of capacity',
        baseline: burstGoodput(baseline),
        target: 0.95,
        direction: 'at_least',
      },
      {
        figure: 'goodput_after_burst',
        value: afterGoodput(product),
        unit: 'of demand',
        baseline: afterGoodput(baseline),
        target: 0.95,
        direction: 'at_least',
      },
      {
        figure: 'small_wait_p99_to_alone',
        value: smallWaitP99(product) / smallWaitP99(alone),
        unit: 'ratio',
        baseline: smallWaitP99(baseline) / smallWaitP99(alone),
        target: 2,
        direction: 'at_most',
      },
      {
        figure: 'small_wait_p99',
        value: smallWaitP99(product),
        unit: 'ms',
        baseline: smallWaitP99(baseline),
      },
      {
        figure: 'small_wait_p99_alone',
        value: smallWaitP99(alone),
        unit: 'ms',
      },
      {
        figure: 'small_wait_p99_within_share',
        value: smallWaitP99(mild),
        unit: 'ms',
        baseline: smallWaitP99(mildAlone),
      },
      {
        figure: 'small_answered_share_within_share',
        value: shareOf(mild, 'answered', isSmallInBurst),
        unit: 'of offered',
        baseline: shareOf(mildAlone, 'answered', isSmallInBurst),
      },
      {
        figure: 'small_goodput',
        value: smallGoodput(product),
        unit: 'of capacity',
        baseline: smallGoodput(baseline),
      },
      {
        figure: 'small_refused_share',
        value: shareOf(product, 'refused', isSmallInBurst),
        unit: 'of offered',
      },
      {
        figure: 'small_answered_share',
        value: shareOf(product, 'answered', isSmallInBurst),
        unit: 'of offered',
        baseline: shareOf(baseline, 'answered', isSmallInBurst),
      },
      {
        figure: 'small_answered_share_alone',
        value: shareOf(alone, 'answered', isSmallInBurst),
        unit: 'of offered',
      },
      {
        figure: 'refusal_delay_p99',
        value: statistics.percentile(refusalDelays(product), 99),
        unit: 'ms',
        target: 10,
        direction: 'at_most',
      },
      {
        figure: 'refusal_delay_p99_9',
        value: statistics.percentile(refusalDelays(product), 99.9),
        unit: 'ms',
      },
      {
        figure: 'given_up_share',
        value:
          refused.filter(o => o.reason === 'wait_expired').length /
          Math.max(1, refused.length),
        unit: 'of refused',
      },
      {
        figure: 'refused_with_retry_after',
        value: withRetryAfter / Math.max(1, refused.length),
        unit: 'of refused',
        target: 1,
        direction: 'at_least',
      },
      {
        figure: 'retries_added',
        value: product.retries / product.attempts,
        unit: 'of first attempts',
        baseline: baseline.retries / baseline.attempts,
        target: 0.1,
        direction: 'at_most',
      },
      {
        figure: 'callers_returned',
        value: product.returns,
        unit: 'requests',
      },
      {
        figure: 'work_after_deadline',
        value: product.lateWork,
        unit: 'requests',
        baseline: baseline.lateWork,
      },
      {
        figure: 'queued_max',
        value: product.maxQueued,
        unit: 'requests',
        baseline: baseline.maxQueued,
      },
    ]);
  },
};
