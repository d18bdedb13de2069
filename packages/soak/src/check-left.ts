/** Checks that nothing is sent on for callers that have left. */
import type * as checkNotices from './check-notices.js';
import type * as invariants from './invariants.js';

/** A caller that wrote a request to a paused instance, and left. */
export interface LeftCaller {
  readonly id: string;
  readonly leftAtMs: number;
}

/** Records that the check needs. */
export interface LeftRecord {
  readonly callers: readonly LeftCaller[];
  readonly arrivals: readonly checkNotices.Arrival[];
}

/** Time in which a close and a request on its way may cross, in ms. */
const IN_TRANSIT_MS = 500;

/** Finds requests that reached an upstream after their callers had left. */
export const findWorkForNobody = ({
  callers,
  arrivals,
}: LeftRecord): readonly invariants.Violation[] => {
  const left = new Map(callers.map(({id, leftAtMs}) => [id, leftAtMs]));
  return arrivals.flatMap(
    ({id, upstream, atMs}): readonly invariants.Violation[] => {
      const lateMs = atMs - (left.get(id) ?? Infinity);
      return lateMs <= IN_TRANSIT_MS
        ? []
        : [
            {
              holds: 'in_time',
              invariant: 'nothing is sent on for callers that have left',
              id,
              detail: `at ${upstream} ${Math.round(lateMs)} ms after`,
            },
          ];
    },
  );
};
