/**
 * Traffic of the `rollout` bench: answers of two versions counted on several
 * instances, rated late and in part, and reported late to a driver that is
 * lost half way for a while.
 */
import * as decisions from '@amaranthknot/decisions';
import * as seededRandom from '@amaranthknot/fakes';

/** One roll-out to run. */
export interface Scenario {
  readonly instances: number;
  /** Requests a second of the model over all instances. */
  readonly requestRate: number;
  /** Share of bad answers of the old and the new version. */
  readonly oldBad: number;
  readonly newBad: number;
  /** Mean lateness of a rating, in seconds. */
  readonly ratingDelay: number;
  readonly steps: readonly number[];
  /** Seconds after which an undecided run ends. */
  readonly limit: number;
  /** Second at which the driver is lost, and for how long. */
  readonly driverLostAt: number;
  readonly driverLostFor: number;
}

/** How a roll-out ended. */
export interface RolloutRun {
  readonly outcome: 'stopped' | 'out' | 'undecided';
  /** Seconds until the outcome. */
  readonly seconds: number;
  /** Bad answers that callers got from the new version. */
  readonly badAnswers: number;
}

/** Decides the share of the new version, at each look. */
export interface Driver {
  look(
    evidence: decisions.EvidenceByInstance,
    seconds: number,
  ): {readonly share: number; readonly stopped: boolean};
  /** The state that the next driver resumes from. */
  store(): string;
}

/** Share of all answers that the rating service may be sent. */
const RATING_BUDGET = 0.1;
const MISSING = 0.2;
/** Seconds between looks. */
const TICK = 10;

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

/** Number of events in a tick, given their mean. */
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
  /** Ratings to come, by tick. */
  readonly late: Map<number, LateRating[]>;
  badAnswers: number;
}

/** Serves one version's answers of one tick. */
const serveTick = (
  scenario: Scenario,
  progress: Progress,
  tick: number,
  version: decisions.RolloutVersion,
  share: number,
  random: () => number,
): void => {
  const isNew = version === 'new';
  const part = isNew ? share : 1 - share;
  const rated =
    decisions.allocateRatings(share, RATING_BUDGET)[version] * (1 - MISSING);
  const answers = drawPoisson(random, part * scenario.requestRate * TICK);
  for (let i = 0; i < answers; i++) {
    const instance = Math.floor(random() * scenario.instances);
    const isBad = random() < (isNew ? scenario.newBad : scenario.oldBad);
    const count = progress.counts[instance]?.[version];
    if (count) {
      count.requests++;
    }
    progress.badAnswers += isNew && isBad ? 1 : 0;
    if (random() < rated) {
      const mean = scenario.ratingDelay / TICK;
      const delay = seededRandom.drawExponential(random, mean);
      const at = tick + 1 + Math.floor(delay);
      const list = progress.late.get(at) ?? [];
      list.push({instance, version, isBad});
      progress.late.set(at, list);
    }
  }
};

const takeRatings = (progress: Progress, tick: number): void => {
  for (const {instance, version, isBad} of progress.late.get(tick) ?? []) {
    const count = progress.counts[instance]?.[version];
    if (count) {
      count.rated++;
      count.bad += isBad ? 1 : 0;
    }
  }
  progress.late.delete(tick);
};

/** Runs one roll-out, tick by tick. */
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
    late: new Map(),
    badAnswers: 0,
  };
  let driver = createDriver(undefined);
  let stored: string | undefined;
  let isLost = false;
  let share = 0;
  for (let tick = 0; tick * TICK < scenario.limit; tick++) {
    const seconds = tick * TICK;
    const sinceLoss = seconds - scenario.driverLostAt;
    const wasLost = isLost;
    isLost = sinceLoss >= 0 && sinceLoss < scenario.driverLostFor;
    if (isLost && !wasLost) {
      stored = driver.store();
    }
    if (!isLost && wasLost) {
      driver = createDriver(stored);
    }
    const inForce = share;
    if (!isLost) {
      const look = driver.look(copyEvidence(progress.counts), seconds);
      share = look.share;
      if (look.stopped) {
        return {outcome: 'stopped', seconds, badAnswers: progress.badAnswers};
      }
      if (share >= 1) {
        return {outcome: 'out', seconds, badAnswers: progress.badAnswers};
      }
    }
    // A share takes up to a tick to be in force on every instance.
    serveTick(scenario, progress, tick, 'new', inForce, random);
    serveTick(scenario, progress, tick, 'old', inForce, random);
    takeRatings(progress, tick);
  }
  const {badAnswers} = progress;
  return {outcome: 'undecided', seconds: scenario.limit, badAnswers};
};
