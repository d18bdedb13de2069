/**
 * Checks that requests with a part of their prompts under which upstreams end
 * are kept away from upstreams.
 */
import type * as checkNotices from './check-notices.js';
import type * as invariants from './invariants.js';

/** Records that the check needs. */
export interface FatalPartRecord {
  /** Requests with the part that reached upstreams. */
  readonly arrivals: readonly checkNotices.Arrival[];
  /** Times at which an upstream ended under the part. */
  readonly endsMs: readonly number[];
  /** Faults that excuse an instance. */
  readonly disruptions: readonly checkNotices.Disruption[];
}

/** Ends after which the part must be known. */
const KNOWN_AFTER_ENDS = 5;

/** Requests with the part that may reach upstreams after that. */
const ALLOWED_ARRIVALS = 3;

/** Finds requests with the part that arrived too late. */
export const findFatalArrivals = (
  {arrivals, endsMs, disruptions}: FatalPartRecord,
  callers: readonly invariants.CallerRecord[],
  stabilityMs: number,
): readonly invariants.Violation[] => {
  const knownAtMs = endsMs[KNOWN_AFTER_ENDS - 1];
  if (knownAtMs === undefined) {
    return [];
  }
  const instanceOf = new Map(callers.map(({id, instance}) => [id, instance]));
  const isExcused = ({id, atMs, sender}: checkNotices.Arrival): boolean =>
    disruptions.some(
      ({target, fromMs, toMs}) =>
        target === (sender ?? instanceOf.get(id)) &&
        fromMs <= atMs &&
        toMs >= atMs - stabilityMs,
    );
  const late = arrivals.filter(
    arrival => arrival.atMs > knownAtMs + stabilityMs && !isExcused(arrival),
  );
  return late.length <= ALLOWED_ARRIVALS
    ? []
    : [
        {
          holds: 'in_time',
          invariant: 'a part that ends upstreams is kept away from them',
          id: late[0]?.id ?? '-',
          detail: `${late.length} arrivals, ${endsMs.length} ends`,
        },
      ];
};
