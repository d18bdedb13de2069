/**
 * Whether an answer that only the end of its connection ends is whole, from
 * what its upstream shows after that end.
 *
 * Made for upstreams that end while they answer, at any load: an operating
 * system closes the connections of a process that was killed like those of one
 * that has sent everything, so half an answer looks like a whole one. Callers
 * must not take it for one.
 */

/**
 * What an upstream showed when it was checked after the end of an answer.
 *
 * - `answered`: it answered a request that was sent after the end.
 * - `accepted`: it accepted a connection after the end, and no more is known.
 * - `doubted`: the same, but it was found away before, or another upstream is
 *   known at its address.
 * - `late`: one of `answered`, `accepted` and `reset`, but the end was read so long
 *   after it came that the upstream may have ended and started again.
 * - `reset`: it accepted connections and reset them, twice in a row.
 * - `replaced`: another upstream, or another start of it, has its address.
 * - `refused`: its address refuses connections.
 * - `unreachable`: no connection was established in time, twice in a row.
 */
export type LivenessSign =
  | 'answered'
  | 'accepted'
  | 'doubted'
  | 'late'
  | 'reset'
  | 'replaced'
  | 'refused'
  | 'unreachable';

/** Whether an answer is whole, or ended before its last byte. */
export type AnswerEnd = 'whole' | 'early';

/**
 * A process that was killed runs no code any more, so one that answers later had
 * not been killed. Signs that prove nothing count against the answer: half a
 * confirmation that looks whole misleads its caller, while a whole one that is
 * taken for half costs another attempt, or an answer that promises nothing.
 */
const ENDS: Readonly<Record<LivenessSign, AnswerEnd>> = {
  answered: 'whole',
  // Its listener lives; it is too busy to answer in time, or was not asked.
  accepted: 'whole',
  // It has as many connections as it takes; without a process it would refuse.
  reset: 'whole',
  doubted: 'early',
  late: 'early',
  replaced: 'early',
  refused: 'early',
  unreachable: 'early',
};

/**
 * Time in which an upstream may end and start again, in milliseconds: a process
 * takes longer to start.
 */
const MIN_RESTART_MS = 500;

/**
 * The sign where the end may have lain unread for `waitMs`.
 *
 * Guards against part of an answer whose upstream ended and was back, while this
 * process was suspended or busy: what answers then is not what answered before.
 */
export const weighSign = (sign: LivenessSign, waitMs: number): LivenessSign =>
  ENDS[sign] === 'whole' && waitMs >= MIN_RESTART_MS ? 'late' : sign;

/** The end of an answer whose upstream showed this sign after it. */
export const judgeAnswerEnd = (sign: LivenessSign): AnswerEnd => ENDS[sign];
