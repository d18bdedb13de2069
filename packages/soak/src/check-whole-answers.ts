/** Checks that whole answers arrive, also from upstreams that end soon after. */
import type * as checkNotices from './check-notices.js';
import type * as invariants from './invariants.js';

/** A plain answer that an upstream has written to its end. */
export interface WholeAnswer {
  /** Id of the request. */
  readonly id: string;
  readonly upstream: string;
  readonly atMs: number;
}

/** Records that the check needs. */
export interface WholeAnswerRecord {
  readonly answers: readonly WholeAnswer[];
  /** Times around which an upstream was killed. */
  readonly kills: readonly checkNotices.Disruption[];
}

/** Finds bookings whose answer was whole, and didn't reach their callers. */
export const findLostAnswers = (
  {answers, kills}: WholeAnswerRecord,
  callers: readonly invariants.CallerRecord[],
): readonly invariants.Violation[] => {
  const bookings = new Map(
    callers
      .filter(({kind}) => kind === 'book')
      .map(caller => [caller.id, caller] as const),
  );
  return answers.flatMap(({id, upstream, atMs}) => {
    const caller = bookings.get(id);
    const isExcused = kills.some(
      ({target, fromMs, toMs}) =>
        target === upstream && atMs >= fromMs && atMs <= toMs,
    );
    return !caller || caller.status === 200 || isExcused
      ? []
      : [
          {
            holds: 'in_time' as const,
            invariant: 'a whole answer reaches its caller',
            id,
            detail: `${caller.status}, from ${upstream}`,
          },
        ];
  });
};
