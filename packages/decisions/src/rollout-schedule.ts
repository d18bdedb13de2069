/**
 * Decides how much of a service's traffic a new version gets while an order
 * to roll it out runs, and when the order ends.
 *
 * Load: an order with a deadline, seen by every instance, whose version may be
 * bad at once, after a while, under load, or on one route only. Harm
 * prevented: more bad answers than operators bear, a good version that misses
 * its deadline, and sessions thrown between versions. All instances compute
 * the same share from the order's age and the evidence pooled among them.
 */
import * as rolloutEvidence from './rollout-evidence.js';
import * as sequentialTest from './sequential-test.js';

/** What the schedule starts from. Times are in milliseconds. */
export interface RolloutTiming {
  /** Time since the order. */
  readonly ageMs: number;
  /** Time from the order until it must have ended. */
  readonly durationMs: number;
  /** Time within which requests of a session belong together. */
  readonly sessionMs: number;
}

/**
 * What is known of the new version.
 *
 * - `bad`: it is stopped.
 * - `doubtful`: it fails so much more often that it gets no more than its
 *   first share.
 * - `unproved`: it may be tried with all traffic, but is not reported as done.
 * - `unclear`: nothing was seen of it, nor much of the old one.
 */
export type VersionVerdict =
  'bad' | 'doubtful' | 'unproved' | 'unclear' | 'good';

/**
 * Part of the allowed share that is used until half of the time has passed:
 * room for instances that count apart, and for repeats.
 */
const INITIAL_FRACTION = 0.6;

/**
 * Time for which the exposure is held back beyond a session's own, in ms:
 * sessions that were under way at the order stay with the old version, and
 * instances have to hear of them from each other.
 */
const SESSION_LAG_MS = 700;

/** Part of the time after which sessions may move to the new version. */
const SESSION_MOVES_FROM = 0.5;

/**
 * Least and largest part of the time, counted from its end, in which the new
 * version gets all traffic; see `findFullTrafficMs`.
 */
const FULL_TRAFFIC_RANGE = {min: 0.06, max: 0.3};

/**
 * Part of the exposure that operators bear which is planned for. Instances
 * count what they send and not what reaches an upstream twice.
 */
const PLANNED_FRACTION = 0.8;

/**
 * How many times faster than until now requests may come in the lead. Callers
 * come in waves and repeat what fails, and an answer in progress is not counted
 * yet; without room for them a bad version gets more than is borne.
 */
const RATE_MARGIN = 1.4;

/**
 * Time before the deadline at which the order is reported as done, as a part
 * of its duration and in ms at the least: a write that is lost is repeated.
 */
const REPORT_FRACTION = 0.04;
const MIN_REPORT_MS = 600;

/**
 * Odds against a version, as a log, at which it is stopped. By the sequential
 * test a version as good as the old one gets there in one order out of as many
 * at the most.
 */
const BAD_BOUND = Math.log(20);

/**
 * Odds ratios of slow answers that a version is suspected of. Upstreams whose
 * caches still fill are more often slow than the old ones, too; the least ratio
 * leaves room for that.
 */
const SLOW_ODDS = [4, 8, 20] as const;

/**
 * The same by slow answers: higher, for a new version's upstreams begin with
 * empty caches and are fewer, so that load makes more of its answers slow.
 */
const SLOW_BOUND = Math.log(50);

/**
 * Odds by failures against a version, as a log, with which it gets no more
 * than its first share and is not reported as done: where the old version's
 * answers fail too, the odds grow slowly, and at the deadline they may still
 * be below those of a stop.
 */
const DOUBT_BOUND = Math.log(4);

/** Answers of the new version below which nothing is said in its favour. */
const MIN_NEW_ANSWERS = 5;

/**
 * Answers of the old version below which nobody uses the service: a new one
 * that was never asked then stands for what nobody asks.
 */
const IDLE_ANSWERS = 20;

/** Evidence of one order by route, and by instance within it. */
export type EvidenceByRoute = ReadonlyMap<
  string,
  rolloutEvidence.EvidenceByInstance
>;

/** What all instances counted on all routes of an order. */
export const sumEvidence = (
  byRoute: EvidenceByRoute,
): rolloutEvidence.RolloutEvidence =>
  rolloutEvidence.addEvidence(
    [...byRoute.values()].map(evidence =>
      rolloutEvidence.findNewEvidence({}, evidence),
    ),
  );

/** What a version can be worse in. */
interface Comparison {
  readonly block: sequentialTest.OutcomeBlock;
  readonly oddsRatios: readonly number[];
  /** Odds, as a log, at which a version is stopped by this comparison. */
  readonly bound: number;
}

const compareErrors = (
  o: rolloutEvidence.VersionCounts,
  n: rolloutEvidence.VersionCounts,
): Comparison => ({
  block: {
    oldCount: o.requests,
    oldBad: o.errors,
    newCount: n.requests,
    newBad: n.errors,
  },
  oddsRatios: sequentialTest.ODDS_RATIOS,
  bound: BAD_BOUND,
});

const listComparisons = ({
  old: o,
  new: n,
}: rolloutEvidence.RolloutEvidence): readonly Comparison[] => {
  const answers = {oldCount: o.requests, newCount: n.requests};
  const streams = {oldCount: o.paced, newCount: n.paced};
  const slowness = {oddsRatios: SLOW_ODDS, bound: SLOW_BOUND};
  return [
    compareErrors(o, n),
    {...slowness, block: {...answers, oldBad: o.slow, newBad: n.slow}},
    {...slowness, block: {...streams, oldBad: o.dragging, newBad: n.dragging}},
  ];
};

/** Log of the odds against the new version by one comparison. */
const findLogOdds = ({block, oddsRatios}: Comparison): number => {
  // A version that nobody compares with still has a few good answers.
  const oldCount = block.oldCount + MIN_NEW_ANSWERS;
  return sequentialTest.findBlockEvidence({...block, oldCount}, oddsRatios);
};

/** How far the odds are beyond a bound, in what the version is worst in. */
const findExcess = (evidence: rolloutEvidence.RolloutEvidence): number =>
  Math.max(
    ...listComparisons(evidence).map(
      comparison => findLogOdds(comparison) - comparison.bound,
    ),
  );

/** Log of the odds against the new version by failures alone. */
const findErrorLogOdds = ({
  old: o,
  new: n,
}: rolloutEvidence.RolloutEvidence): number => findLogOdds(compareErrors(o, n));

/**
 * Judges the new version by all evidence of an order.
 *
 * A version may be bad on one route alone: among the answers of all routes its
 * failures are as rare as chance ones.
 * Each route is therefore judged by itself as well. The bound grows with the
 * routes, so that a good version is as rarely stopped on any of them as by all
 * answers together.
 */
export const judgeVersion = (byRoute: EvidenceByRoute): VersionVerdict => {
  const all = sumEvidence(byRoute);
  const routeMargin = Math.log(Math.max(1, byRoute.size));
  const routeExcess = [...byRoute.values()].map(
    evidence =>
      findExcess(rolloutEvidence.findNewEvidence({}, evidence)) - routeMargin,
  );
  if (Math.max(findExcess(all), ...routeExcess) >= 0) {
    return 'bad';
  }
  if (findErrorLogOdds(all) >= DOUBT_BOUND) {
    return 'doubtful';
  }
  if (all.new.requests < MIN_NEW_ANSWERS) {
    return all.old.requests < IDLE_ANSWERS ? 'unclear' : 'unproved';
  }
  return findErrorLogOdds(all) > 0 ? 'unproved' : 'good';
};

/** Time after an order during which the new version gets nothing. */
export const findHoldMs = (sessionMs: number): number =>
  sessionMs + SESSION_LAG_MS;

/** Whether sessions of the old version may move to the new one. */
export const mayMoveSessions = (timing: RolloutTiming): boolean =>
  timing.ageMs >= SESSION_MOVES_FROM * timing.durationMs;

/** How much of a service's traffic an unproved version may see. */
export interface ExposureLimit {
  /** Of the requests between the order and its deadline. */
  readonly share: number;
  /** Requests on top. */
  readonly slack: number;
}

/**
 * Time before the deadline at which the new version gets all traffic, in ms.
 *
 * A version may be bad only under a load that it does not see at a small
 * share, or turn bad late. With all traffic it is kept within the exposure
 * that operators bear, even if nothing was seen until then: the lead is what
 * is left of that exposure at the rate at which requests come.
 */
export const findFullTrafficMs = (
  timing: RolloutTiming,
  {old: o, new: n}: rolloutEvidence.RolloutEvidence,
  limit: ExposureLimit,
): number => {
  const perMs = (o.requests + n.requests) / Math.max(1, timing.ageMs);
  const borne = limit.share * perMs * timing.durationMs + limit.slack;
  const left = Math.max(0, PLANNED_FRACTION * borne - n.requests);
  const fullTrafficMs = perMs === 0 ? Infinity : left / (RATE_MARGIN * perMs);
  return Math.min(
    FULL_TRAFFIC_RANGE.max * timing.durationMs,
    Math.max(FULL_TRAFFIC_RANGE.min * timing.durationMs, fullTrafficMs),
  );
};

/** What a share depends on. */
export interface RolloutConditions {
  readonly timing: RolloutTiming;
  readonly verdict: VersionVerdict;
  readonly limit: ExposureLimit;
  /** Time before the deadline at which all traffic moves, in ms. */
  readonly fullTrafficMs: number;
}

const hasFullTraffic = ({
  timing,
  verdict,
  fullTrafficMs,
}: RolloutConditions): boolean =>
  verdict !== 'doubtful' && timing.ageMs >= timing.durationMs - fullTrafficMs;

/** Share of sessions, 0 to 1, that get the new version. */
export const findRolloutShare = (conditions: RolloutConditions): number => {
  const {timing, verdict, limit} = conditions;
  if (verdict === 'bad' || timing.ageMs < findHoldMs(timing.sessionMs)) {
    return 0;
  }
  return hasFullTraffic(conditions) ? 1 : INITIAL_FRACTION * limit.share;
};

/**
 * Whether all that the new version gets goes to few of its upstreams, so that
 * these carry about as much as each will later.
 */
export const isConcentrated = (conditions: RolloutConditions): boolean =>
  !hasFullTraffic(conditions);

/**
 * What an order comes to; undefined while it goes on.
 *
 * Guards against a bad version that looks good by luck: with the old
 * upstreams stopped there is nothing to go back to, and every caller gets its
 * failures. A version is reported as done only if it is less likely worse than
 * as good; an order that was rolled back can be given again.
 */
export const findRolloutEnd = (
  timing: RolloutTiming,
  verdict: VersionVerdict,
): 'completed' | 'rolled_back' | undefined => {
  if (verdict === 'bad') {
    return 'rolled_back';
  }
  const {ageMs, durationMs} = timing;
  const reportMs = Math.max(MIN_REPORT_MS, REPORT_FRACTION * durationMs);
  if (ageMs < durationMs - reportMs) {
    return undefined;
  }
  const isProved = verdict === 'good' || verdict === 'unclear';
  return isProved ? 'completed' : 'rolled_back';
};
