/**
 * Checks that all instances together send requests again no more often than
 * operators allow, from what upstreams got.
 */
import type * as checkNotices from './check-notices.js';
import type * as invariants from './invariants.js';
import type * as documents from './soak-documents.js';

/** Records that the check needs. */
export interface RepeatRecord {
  /** Requests that reached upstreams. */
  readonly arrivals: readonly checkNotices.Arrival[];
  readonly limit: documents.RetryLimit;
}

/** Times of the first arrivals of requests, and of those beyond. */
interface ArrivalTimes {
  readonly first: readonly number[];
  readonly repeats: readonly number[];
}

const sortArrivals = (
  arrivals: readonly checkNotices.Arrival[],
): ArrivalTimes => {
  const arrived = new Set<string>();
  const first: number[] = [];
  const repeats: number[] = [];
  for (const {id, atMs} of [...arrivals].sort((a, b) => a.atMs - b.atMs)) {
    const times = arrived.has(id) ? repeats : first;
    times.push(atMs);
    arrived.add(id);
  }
  return {first, repeats};
};

/**
 * Finds the window with most repeats beyond the limit. The requests are those of
 * the window, of the one before it, or of the one half a window before; only
 * those count that reached an upstream, which is stricter than what operators
 * allow.
 */
export const findRepeatExcess = ({
  arrivals,
  limit: {ratio, slack, windowMs},
}: RepeatRecord): readonly invariants.Violation[] => {
  const countWithin = (timesMs: readonly number[], endMs: number): number =>
    timesMs.filter(atMs => atMs > endMs - windowMs && atMs <= endMs).length;
  const {first, repeats} = sortArrivals(arrivals);
  const windows = repeats.map(endMs => {
    const counts = [endMs, endMs - windowMs / 2, endMs - windowMs].map(end =>
      countWithin(first, end),
    );
    const allowed = slack + ratio * Math.max(...counts);
    return {endMs, count: countWithin(repeats, endMs), allowed};
  });
  const [worst] = windows
    .filter(({count, allowed}) => count > allowed)
    .sort((a, b) => b.count - b.allowed - (a.count - a.allowed));
  return worst
    ? [
        {
          holds: 'in_time',
          invariant: 'all instances together repeat no more than is allowed',
          id: '-',
          detail:
            `${worst.count} repeats in the ${windowMs} ms until ` +
            `${Math.round(worst.endMs)}, ${Math.round(worst.allowed)} allowed`,
        },
      ]
    : [];
};
