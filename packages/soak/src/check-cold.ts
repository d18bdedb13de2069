/** Checks that no cold upstream gets more than it bears, from all instances. */
import type * as checkNotices from './check-notices.js';
import type * as invariants from './invariants.js';
import * as documents from './soak-documents.js';

/** A cold start of an upstream that had been away. */
export interface ColdReturn {
  /** Id of the upstream. */
  readonly upstream: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Records that the check needs. */
export interface ColdRecord {
  /** Requests that reached upstreams. */
  readonly arrivals: readonly checkNotices.Arrival[];
  readonly returns: readonly ColdReturn[];
}

const MS_PER_S = 1_000;

const countMostPerS = (timesMs: readonly number[]): number =>
  Math.max(
    0,
    ...timesMs.map(
      fromMs =>
        timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + MS_PER_S)
          .length,
    ),
  );

/** Finds cold upstreams that got too many requests in some second. */
export const findFloods = ({
  arrivals,
  returns,
}: ColdRecord): readonly invariants.Violation[] =>
  returns.flatMap(({upstream, fromMs, toMs}) => {
    const reached = arrivals.filter(
      arrival =>
        arrival.upstream === upstream &&
        arrival.atMs >= fromMs &&
        arrival.atMs < toMs,
    );
    const most = countMostPerS(reached.map(({atMs}) => atMs));
    const senders = new Set(reached.map(({sender}) => sender ?? '-'));
    return most <= documents.COLD_MOST_PER_S
      ? []
      : [
          {
            holds: 'in_time' as const,
            invariant: 'a cold upstream gets no more than it bears',
            id: upstream,
            detail:
              `${most} requests in a second, ${documents.COLD_MOST_PER_S} ` +
              `allowed, from ${senders.size} instances`,
          },
        ];
  });
