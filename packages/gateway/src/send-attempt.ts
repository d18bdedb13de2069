/** Sends a request to the chosen upstream and waits for the answer's head. */
import type * as telemetry from '@amaranthknot/telemetry';
import type * as purify from 'purify-ts';
import * as runContext from './run-context.js';
import type * as upstreamCall from './upstream-call.js';
import * as upstreamHeaders from './upstream-headers.js';

/** One attempt to send. */
export interface UpstreamAttempt {
  readonly placed: runContext.PlacedAttempt;
  readonly model: string | undefined;
  /** Number of the last event that the caller already has. */
  readonly lastEventId: string | undefined;
  readonly connection: 'fresh' | 'kept';
  readonly connectTimeoutMs: number;
  /** Longest wait for the answer's head, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Aborts this attempt only. */
  readonly signal: AbortSignal;
}

/**
 * Longest wait for an answer's head after which the link is suspected, in
 * milliseconds: prompts take longer, and are no sign of a lost link.
 */
const MAX_SUSPECT_MS = 1_000;

/** The outcome that a failed call means for placement. */
const outcomeOf = (
  failure: upstreamCall.CallFailure,
  signal: AbortSignal,
): runContext.AttemptOutcome => {
  switch (failure.reason) {
    case 'unreachable':
    case 'other_upstream':
      return 'unreachable';
    case 'refused':
      return 'refused';
    case 'cancelled':
      return outcomeOfAbort(runContext.abortReasonOf(signal));
    case 'silent':
    case 'broken':
    case 'foreign_answer':
      return 'failed';
  }
};

const outcomeOfAbort = (
  reason: runContext.AbortReason,
): runContext.AttemptOutcome => {
  switch (reason) {
    case 'time_up':
    case 'upstream_silent':
      // An upstream that was silent until the timeout has failed.
      return 'failed';
    case 'upstream_lost':
      return 'unreachable';
    case 'caller_left':
    case 'not_needed':
      return 'cancelled';
  }
};

const describeFailure = (
  failure: upstreamCall.CallFailure,
): telemetry.Details => {
  const {ran, reason} = failure;
  return ran === 'not_run'
    ? {ran, reason, status: failure.status, retryAfterMs: failure.backoffMs}
    : {ran, reason};
};

/** Sends a request. A failed attempt is settled here, others by the caller. */
export const sendAttempt = async (
  dependencies: runContext.RunDependencies,
  {request, log}: runContext.RunContext,
  attempt: UpstreamAttempt,
): Promise<
  purify.Either<upstreamCall.CallFailure, upstreamCall.UpstreamAnswer>
> => {
  const {placed, model, lastEventId, signal} = attempt;
  const {upstream, inputs} = placed;
  const {caller, route} = request;
  const startedAtMs = dependencies.clock.now();
  const timeLeftMs = request.deadlineMs - startedAtMs;
  log.step('request_placed', {upstream: upstream.id, model, ...inputs});
  const opened = await dependencies.openCall(
    {
      upstream,
      requestId: caller.id,
      method: caller.method,
      target: caller.target,
      headers: upstreamHeaders.createUpstreamHeaders(
        request,
        {upstreamId: upstream.id, timeLeftMs, model, lastEventId},
        dependencies.headerConventions,
      ),
      body: caller.body,
      connection: attempt.connection,
      connectTimeoutMs: attempt.connectTimeoutMs,
      headTimeoutMs: attempt.headTimeoutMs,
      suspectAfterMs: Math.min(route.latencyTargetMs, MAX_SUSPECT_MS),
    },
    signal,
  );
  const tookMs = Math.round(dependencies.clock.now() - startedAtMs);
  opened.caseOf({
    Left: failure => {
      placed.settle(outcomeOf(failure, signal));
      log.failure('try_failed', {
        upstream: upstream.id,
        ...describeFailure(failure),
        tookMs,
      });
    },
    Right: () => {
      placed.recordHead();
    },
  });
  return opened;
};
