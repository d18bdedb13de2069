/**
 * Decides whether an answer has ended where its upstream ended it.
 *
 * Guards against half an answer that its caller takes for a whole one: where an
 * upstream ends while it answers without a length, its connection closes as if
 * it had sent everything, and this instance would pass the end on as a certain
 * one, with a length or a last chunk of its own.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as livenessCheck from './liveness-check.js';
import type * as runContext from './run-context.js';
import type * as upstreamCall from './upstream-call.js';

/** An answer that has arrived to its end, as far as its connection tells. */
export interface EndedAnswer {
  readonly placed: runContext.PlacedAttempt;
  readonly answer: upstreamCall.UpstreamAnswer;
  /** Bytes of its body that have arrived. */
  readonly bytes: number;
  /** Aborts when nobody waits for the answer any longer. */
  readonly signal: AbortSignal;
}

/** Resolves to whether an answer that has ended is whole; never rejects. */
export type ConfirmEnd = (
  ended: EndedAnswer,
  log: telemetry.RequestLog,
) => Promise<decisions.AnswerEnd>;

/** Options of the confirmation. */
export interface ConfirmEndOptions {
  readonly checkLiveness: livenessCheck.CheckLiveness;
  /** Longest time for which an end that is read now may have lain unread. */
  readonly findWaitMs: () => number;
  /** Called for each answer that its upstream ended early by ending itself. */
  readonly onUpstreamEnded: (upstream: routing.Upstream) => void;
}

/** Signs that the upstream itself has ended. */
const ENDED: ReadonlySet<decisions.LivenessSign> = new Set([
  'refused',
  'replaced',
]);

/** Creates the confirmation. Framed answers need none, and wait for none. */
export const createConfirmEnd =
  ({
    checkLiveness,
    findWaitMs,
    onUpstreamEnded,
  }: ConfirmEndOptions): ConfirmEnd =>
  async ({placed, answer, bytes, signal}, log) => {
    const {framing} = answer;
    if (framing !== 'connection') {
      return 'whole';
    }
    const {upstream} = placed;
    const details = {upstream: upstream.id, framing, bytes};
    // Instances frame what they answer each other.
    if (placed.forward) {
      log.failure('answer_end_checked', {
        ...details,
        reason: 'unframed_by_peer',
        outcome: 'early',
      });
      return 'early';
    }
    if (signal.aborted) {
      return 'early';
    }
    const waitMs = findWaitMs();
    const {sign: shown, connections, tookMs} = await checkLiveness(upstream);
    const sign = decisions.weighSign(shown, waitMs);
    const end = decisions.judgeAnswerEnd(sign);
    const line = {
      ...details,
      reason: sign,
      connections,
      ...(waitMs > 0 ? {waitedMs: Math.round(waitMs)} : {}),
      tookMs: Math.round(tookMs),
      outcome: end,
    };
    if (end === 'whole') {
      log.step('answer_end_checked', line);
      return end;
    }
    log.failure('answer_end_checked', line);
    if (ENDED.has(sign)) {
      onUpstreamEnded(upstream);
    }
    return end;
  };
