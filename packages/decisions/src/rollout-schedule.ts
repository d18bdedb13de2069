/**
 * Decides which share of a service's traffic a new version gets during a
 * rollout, and when and how the rollout ends.
 *
 * Load: a rollout with a deadline, carried out by every instance, whose version
 * may be bad at once, after a while, under load, or on one route only. Harm
 * prevented: more bad answers than operators tolerate, a good version that
 * misses its deadline, and sessions that switch back and forth between
 * versions. All instances compute the same share from the age of the rollout
 * and the evidence pooled among them.
 */
import * as rolloutEvidence from './rollout-evidence.js';
import * as sequentialTest from './sequential-test.js';

/** Timing of a rollout. Times are in milliseconds. */
export interface RolloutTiming {
  /** Time since the start of the rollout. */
  readonly ageMs: number;
  /** Time from the start to the deadline. */
  readonly durationMs: number;
  /** Idle time after which a session ends. */
  readonly sessionMs: number;
}

/**
 * Verdict on the new version.
 *
 * - `bad`: it is stopped.
 * - `doubtful`: it fails so much more often than the old version, or is slower so
 *   much more often, that its share stays at the initial one.
 * - `unproved`: it may get full traffic, but its rollout can't complete yet.
 * - `unclear`: both versions have too few answers to judge.
 * - `good`: its failures make it more likely that it is as good as the old
 *   version than that it is worse, and its times show that it isn't slower.
 */
export type VersionVerdict =
  'bad' | 'doubtful' | 'unproved' | 'unclear' | 'good';

/**
 * Fraction of the allowed share that is used before the phase of full traffic.
 * The rest is a margin for instances that count separately, and for repeats.
 */
const INITIAL_FRACTION = 0.6;

/**
 * Time, in addition to that of a session, for which the new version gets
 * nothing, in ms: sessions that are active at the start of the rollout stay on
 * the old version, and instances have to learn of them from each other.
 */
const SESSION_LAG_MS = 700;

/**
 * Fraction of the duration after which sessions may move to the new version.
 */
const SESSION_MOVES_FROM = 0.5;

/**
 * Bounds on the phase of full traffic at the end of a rollout, as fractions of
 * its duration; see `findFullTrafficMs`.
 */
const FULL_TRAFFIC_RANGE = {min: 0.06, max: 0.3};

/**
 * Fraction of the allowed exposure that is planned for. Instances count the
 * requests that they send, but not those that reach an upstream twice.
 */
const PLANNED_FRACTION = 0.8;

/**
 * Factor by which the request rate may rise during full traffic. Callers come
 * in waves and repeat failed requests, and answers in progress are not counted
 * yet; without this margin a bad version gets more than the allowed exposure.
 */
const RATE_MARGIN = 1.4;

/**
 * Time before the deadline at which the outcome of a rollout is reported, as a
 * fraction of its duration and as a minimum in ms. It leaves time to repeat a
 * write that is lost.
 */
const REPORT_FRACTION = 0.04;
const MIN_REPORT_MS = 600;

/**
 * Time for which a verdict must have held for a rollout to complete on it, in
 * ms: an instance that has judged the version bad tells all others within it.
 */
const STEADY_VERDICT_MS = 500;

/** Time before the deadline at which a write still takes effect, in ms. */
const LAST_REPORT_MS = 100;

/**
 * Log odds against a version at which it is stopped. By the sequential test, a
 * version as good as the old one reaches them in at most one rollout in 20.
 */
const BAD_BOUND = Math.log(20);

/**
 * Odds ratios of slow answers that are tested for. Upstreams of a good version
 * are also slow more often than the old ones while their caches fill; the
 * smallest ratio tolerates that.
 */
const SLOW_ODDS = [4, 8, 20] as const;

/**
 * Log odds by slow answers at which a version is stopped. They are higher, as
 * the upstreams of a new version start with empty caches and are fewer, so that
 * load makes more of its answers slow.
 */
const SLOW_BOUND = Math.log(50);

/**
 * Log odds by failures at which a version keeps its initial share and its
 * rollout does not complete. Where answers of the old version fail too, the
 * odds grow slowly, and at the deadline they may still be below `BAD_BOUND`.
 */
const DOUBT_BOUND = Math.log(4);

/**
 * Share of the times of a version that are over twice the typical one. A sound
 * version has some: its upstreams start with empty caches, and load varies.
 * Callers notice a version for which it is half.
 */
const SLOWER_SHARE = {sound: 0.22, bad: 0.53} as const;

/**
 * Log odds in favour of the new version, by the times of its answers, that its
 * rollout needs to complete: of versions that are slower, one in 20 at most
 * reaches it.
 */
const PACE_CLEAR_BOUND = Math.log(20);

/**
 * Log odds by the times of answers on one route at which a version is doubtful.
 * They are higher, as the few answers of a route are slower together, for
 * instance while the cache of the one upstream that runs them fills.
 */
const ROUTE_DOUBT_BOUND = Math.log(20);

/** Minimum answers of the new version for a verdict in its favour. */
const MIN_NEW_ANSWERS = 5;

/**
 * Answers of the old version below which the service counts as unused. The
 * rollout of a new version with too few answers may then complete.
 */
const IDLE_ANSWERS = 3;

/** Evidence of one rollout by route, and by instance within a route. */
export type EvidenceByRoute = ReadonlyMap<
  string,
  rolloutEvidence.EvidenceByInstance
>;

/** Sums the evidence of all instances on all routes of a rollout. */
export const sumEvidence = (
  byRoute: EvidenceByRoute,
): rolloutEvidence.RolloutEvidence =>
  rolloutEvidence.addEvidence(
    [...byRoute.values()].map(evidence =>
      rolloutEvidence.findNewEvidence({}, evidence),
    ),
  );

/** Comparison of the two versions by one kind of bad outcome. */
interface Comparison {
  readonly block: sequentialTest.OutcomeBlock;
  readonly oddsRatios: readonly number[];
  /** Log odds at which this comparison stops the new version. */
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

/** Log odds against the new version by one comparison. */
const findLogOdds = ({block, oddsRatios}: Comparison): number => {
  // A few good answers of the old version are assumed, so that the new one can
  // be judged where the old one has none.
  const oldCount = block.oldCount + MIN_NEW_ANSWERS;
  return sequentialTest.findBlockEvidence({...block, oldCount}, oddsRatios);
};

/** Largest excess of the log odds over the bound of their comparison. */
const findExcess = (evidence: rolloutEvidence.RolloutEvidence): number =>
  Math.max(
    ...listComparisons(evidence).map(
      comparison => findLogOdds(comparison) - comparison.bound,
    ),
  );

/** Log odds against the new version by failures alone. */
const findErrorLogOdds = ({
  old: o,
  new: n,
}: rolloutEvidence.RolloutEvidence): number => findLogOdds(compareErrors(o, n));

/**
 * Log odds that the answers of the new version are slower, against typical times
 * from before the rollout.
 *
 * The old version at the same time is no measure: while a load slows it down, a
 * new version that is several times slower, but has little to do, looks like it.
 */
const findSlowerLogOdds = ({
  compared,
  slower,
}: rolloutEvidence.VersionCounts): number =>
  slower * Math.log(SLOWER_SHARE.bad / SLOWER_SHARE.sound) +
  (compared - slower) *
    Math.log((1 - SLOWER_SHARE.bad) / (1 - SLOWER_SHARE.sound));

/**
 * Judges the new version by all evidence of a rollout.
 *
 * A version that is bad on one route only may have so few failures among the
 * answers of all routes that they look like chance. Each route is therefore
 * also judged by itself. The bound grows with the number of routes, so that a
 * good version is stopped on any of them as rarely as by all answers together.
 */
export const judgeVersion = (byRoute: EvidenceByRoute): VersionVerdict => {
  const all = sumEvidence(byRoute);
  const routeMargin = Math.log(Math.max(1, byRoute.size));
  const routes = [...byRoute.values()].map(evidence =>
    rolloutEvidence.findNewEvidence({}, evidence),
  );
  const routeExcess = routes.map(route => findExcess(route) - routeMargin);
  if (Math.max(findExcess(all), ...routeExcess) >= 0) {
    return 'bad';
  }
  const routeSlower = routes.map(
    route => findSlowerLogOdds(route.new) - routeMargin,
  );
  const slowerLogOdds = findSlowerLogOdds(all.new);
  if (
    Math.max(findErrorLogOdds(all), slowerLogOdds) >= DOUBT_BOUND ||
    Math.max(...routeSlower) >= ROUTE_DOUBT_BOUND
  ) {
    return 'doubtful';
  }
  if (all.new.requests < MIN_NEW_ANSWERS) {
    return all.old.requests < IDLE_ANSWERS ? 'unclear' : 'unproved';
  }
  const isCleared = slowerLogOdds <= -PACE_CLEAR_BOUND;
  return isCleared && findErrorLogOdds(all) <= 0 ? 'good' : 'unproved';
};

/** Time from the start of a rollout in which the new version gets nothing. */
export const findHoldMs = (sessionMs: number): number =>
  sessionMs + SESSION_LAG_MS;

/** Whether sessions on the old version may move to the new one. */
export const mayMoveSessions = (timing: RolloutTiming): boolean =>
  timing.ageMs >= SESSION_MOVES_FROM * timing.durationMs;

/** Allowed exposure: requests that a version may get before it is proved. */
export interface ExposureLimit {
  /** Share, 0 to 1, of the requests between the start and the deadline. */
  readonly share: number;
  /** Number of requests on top of the share. */
  readonly slack: number;
}

/**
 * Length of the phase before the deadline in which the new version gets full
 * traffic, in ms.
 *
 * A version may be bad only under a load that it does not get at a small share,
 * or turn bad late. The phase lasts as long as the rest of the allowed exposure
 * does at the current request rate, so that even a version that turns bad only
 * then stays within that exposure.
 */
export const findFullTrafficMs = (
  timing: RolloutTiming,
  {old: o, new: n}: rolloutEvidence.RolloutEvidence,
  limit: ExposureLimit,
): number => {
  const perMs = (o.requests + n.requests) / Math.max(1, timing.ageMs);
  const allowed = limit.share * perMs * timing.durationMs + limit.slack;
  const left = Math.max(0, PLANNED_FRACTION * allowed - n.requests);
  const fullTrafficMs = perMs === 0 ? Infinity : left / (RATE_MARGIN * perMs);
  return Math.min(
    FULL_TRAFFIC_RANGE.max * timing.durationMs,
    Math.max(FULL_TRAFFIC_RANGE.min * timing.durationMs, fullTrafficMs),
  );
};

/** Conditions that determine the share of the new version. */
export interface RolloutConditions {
  readonly timing: RolloutTiming;
  readonly verdict: VersionVerdict;
  readonly limit: ExposureLimit;
  /** Length of the final phase of full traffic, in ms. */
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
 * Whether the requests to the new version go to only a few of its upstreams, so
 * that each of these carries about the load that it will have later.
 */
export const isConcentrated = (conditions: RolloutConditions): boolean =>
  !hasFullTraffic(conditions);

/**
 * Outcome of a rollout; undefined while it continues.
 *
 * Guards against completing a bad version that looks good by chance: with the
 * old upstreams stopped there is no version to return to, and all callers get
 * its failures. A rollout completes only if its version is more likely to be as
 * good as the old one than to be worse; one that was rolled back can be
 * repeated.
 *
 * @param verdictAgeMs time since the verdict last changed.
 */
export const findRolloutEnd = (
  timing: RolloutTiming,
  verdict: VersionVerdict,
  verdictAgeMs: number,
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
  if (isProved && verdictAgeMs >= STEADY_VERDICT_MS) {
    return 'completed';
  }
  const mayWait = ageMs < durationMs - LAST_REPORT_MS;
  return isProved && mayWait ? undefined : 'rolled_back';
};
