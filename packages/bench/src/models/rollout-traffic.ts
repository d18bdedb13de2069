/**
 * Traffic of the `rollout` bench. Several instances count the answers of two
 * versions; some answers are rated, after a delay. The driver that decides the
 * share of the new version is lost for a while half way.
 */
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';

/** Conditions of a rollout; times in seconds. */
export interface Scenario {
  readonly instances: number;
  /** Requests per second to the model on all instances. */
  readonly requestRate: number;
  /** Fraction of bad answers of the old and the new version. */
  readonly oldBad: number;
  readonly newBad: number;
  /** Mean delay of a rating, in seconds. */
  readonly ratingDelay: number;
  readonly steps: readonly number[];
  /** Time after which an undecided run ends, in seconds. */
  readonly limit: number;
  /** When the driver is lost, and for how long, in seconds. */
  readonly driverLostAt: number;
  readonly driverLostFor: number;
}

/** How a rollout ended. */
export interface RolloutRun {
  readonly outcome: 'stopped' | 'out' | 'undecided';
  /** Time until the outcome, in seconds. */
  readonly seconds: number;
  /** Bad answers that callers received from the new version. */
  readonly badAnswers: number;
}

/** Decides the share of the new version at each evaluation. */
export interface Driver {
  evaluate(
    evidence: decisions.EvidenceByInstance,
    seconds: number,
  ): {readonly share: number; readonly stopped: boolean};
  /** The serialized state that the next driver resumes from. */
  store(): string;
}

/** Fraction of all answers that may be sent to the rating service. */
const RATING_BUDGET = 0.1;
const MISSING_RATINGS = 0.2;
/** Time between evaluations, in seconds. */
const TICK_S = 10;

type MutableCounts = {
  -readonly [K in keyof decisions.VersionCounts]: number;
};

interface LateRating {
  readonly instance: number;
  readonly version: decisions.RolloutVersion;
  readonly isBad: boolean;
}

interface Counts {
  readonly old: MutableCounts;
  readonly new: MutableCounts;
}

const createCounts = (): MutableCounts => ({...decisions.NO_COUNTS});

const copyEvidence = (
  counts: readonly Counts[],
): decisions.EvidenceByInstance =>
  Object.fromEntries(
    counts.map((count, i) => [
      `instance-${i}`,
      {old: {...count.old}, new: {...count.new}},
    ]),
  );

/** Draws a Poisson-distributed number with a mean. */
const drawPoisson = (random: () => number, mean: number): number => {
  const bound = Math.exp(-mean);
  let product = random();
  let count = 0;
  while (product > bound) {
    product *= random();
    count++;
  }
  return count;
};

interface Progress {
  readonly counts: readonly Counts[];
  /** Delayed ratings by the tick in which they arrive. */
  readonly pendingRatings: Map<number, LateRating[]>;
  badAnswers: number;
}

/** Simulates the requests to one version in one tick. */
const serveTick = (
  scenario: Scenario,
  progress: Progress,
  tick: number,
  version: decisions.RolloutVersion,
  share: number,
  random: () => number,
): void => {
  const isNew = version === 'new';
  const versionShare = isNew ? share : 1 - share;
  const rated =
    decisions.allocateRatings(share, RATING_BUDGET)[version] *
    (1 - MISSING_RATINGS);
  const answers = drawPoisson(
    random,
    versionShare * scenario.requestRate * TICK_S,
  );
  for (let i = 0; i < answers; i++) {
    const instance = Math.floor(random() * scenario.instances);
    const isBad = random() < (isNew ? scenario.newBad : scenario.oldBad);
    const count = progress.counts[instance]?.[version];
    if (count) {
      count.requests++;
    }
    progress.badAnswers += isNew && isBad ? 1 : 0;
    if (random() < rated) {
      const mean = scenario.ratingDelay / TICK_S;
      const delay = seededRandom.drawExponential(random, mean);
      const at = tick + 1 + Math.floor(delay);
      const list = progress.pendingRatings.get(at) ?? [];
      list.push({instance, version, isBad});
      progress.pendingRatings.set(at, list);
    }
  }
};

const applyRatings = (progress: Progress, tick: number): void => {
  for (const {instance, version, isBad} of progress.pendingRatings.get(tick) ??
    []) {
    const count = progress.counts[instance]?.[version];
    if (count) {
      count.rated++;
      count.bad += isBad ? 1 : 0;
    }
  }
  progress.pendingRatings.delete(tick);
};

/** Simulates a rollout tick by tick. */
export const runRollout = (
  scenario: Scenario,
  createDriver: (resumed: string | undefined) => Driver,
  random: () => number,
): RolloutRun => {
  const progress: Progress = {
    counts: Array.from({length: scenario.instances}, () => ({
      old: createCounts(),
      new: createCounts(),
    })),
    pendingRatings: new Map(),
    badAnswers: 0,
  };
  let driver = createDriver(undefined);
  let stored: string | undefined;
  let isLost = false;
  let share = 0;
  for (let tick = 0; tick * TICK_S < scenario.limit; tick++) {
    const seconds = tick * TICK_S;
    const sinceLoss = seconds - scenario.driverLostAt;
    const wasLost = isLost;
    isLost = sinceLoss >= 0 && sinceLoss < scenario.driverLostFor;
    if (isLost && !wasLost) {
      stored = driver.store();
    }
    if (!isLost && wasLost) {
      driver = createDriver(stored);
    }
    const activeShare = share;
    if (!isLost) {
      const evaluation = driver.evaluate(
        copyEvidence(progress.counts),
        seconds,
      );
      share = evaluation.share;
      if (evaluation.stopped) {
        return {outcome: 'stopped', seconds, badAnswers: progress.badAnswers};
      }
      if (share >= 1) {
        return {outcome: 'out', seconds, badAnswers: progress.badAnswers};
      }
    }
    // A new share takes up to a tick to become active on every instance.
    serveTick(scenario, progress, tick, 'new', activeShare, random);
    serveTick(scenario, progress, tick, 'old', activeShare, random);
    applyRatings(progress, tick);
  }
  const {badAnswers} = progress;
  return {outcome: 'undecided', seconds: scenario.limit, badAnswers};
};
