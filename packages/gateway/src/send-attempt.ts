/** Sends a request to the chosen upstream and waits for the answer's head. */
import type * as telemetry from '@amaranthknot/telemetry';
import type * as protocol from '@amaranthknot/protocol';
import type * as purify from 'purify-ts';
import type * as attemptHistory from './attempt-history.js';
import * as forwardHeaders from './forward-headers.js';
import * as runContext from './run-context.js';
import type * as upstreamCall from './upstream-call.js';
import * as upstreamHeaders from './upstream-headers.js';

/** One attempt to send. */
export interface UpstreamAttempt {
  readonly placed: runContext.PlacedAttempt;
  readonly model: string | undefined;
  /** Whether no other model may answer, as the caller has a part already. */
  readonly isModelFixed: boolean;
  readonly history: attemptHistory.AttemptSummary;
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
      return outcomeOfUnsent(signal);
    case 'other_upstream':
      return 'unreachable';
    case 'no_upstream':
    case 'withdrawn':
      return 'cancelled';
    case 'refused':
      return 'refused';
    case 'cancelled':
      return outcomeOfAbort(runContext.abortReasonOf(signal));
    case 'silent':
    case 'broken':
    case 'invalid_head':
    case 'foreign_answer':
    case 'endless':
      return 'failed';
  }
};

/** What is given up while its connection is opened was not sent. */
const outcomeOfUnsent = (signal: AbortSignal): runContext.AttemptOutcome =>
  signal.aborted && runContext.abortReasonOf(signal) !== 'upstream_lost'
    ? 'cancelled'
    : 'unreachable';

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
    case 'stopping':
    case 'not_needed':
      return 'cancelled';
  }
};

const describeFailure = (
  failure: upstreamCall.CallFailure,
): telemetry.Details => {
  const {ran, reason, status} = failure;
  return ran === 'not_run'
    ? {ran, reason, status, retryAfterMs: failure.backoffMs}
    : {ran, reason, status};
};

/** Creates the call of an attempt: to an upstream, or to another instance. */
const createCall = (
  {headerConventions, clock}: runContext.RunDependencies,
  {request, isAwaited}: runContext.RunContext,
  attempt: UpstreamAttempt,
): upstreamCall.UpstreamRequest => {
  const {placed, model, lastEventId} = attempt;
  const {upstream, forward} = placed;
  const {caller, route} = request;
  const createHeaders = () => {
    const timeLeftMs = request.deadlineMs - clock.now();
    return forward
      ? forwardHeaders.createForwardHeaders(
          request,
          {
            request: describeForwarded(request, attempt, forward),
            timeLeftMs,
            lastEventId,
          },
          headerConventions,
        )
      : upstreamHeaders.createUpstreamHeaders(
          request,
          {upstreamId: upstream.id, timeLeftMs, model, lastEventId},
          headerConventions,
        );
  };
  return {
    upstream,
    requestId: caller.id,
    method: caller.method,
    target: caller.target,
    createHeaders,
    maySend: async () => (await isAwaited()) && placed.isInService(),
    body: caller.body,
    connection: attempt.connection,
    connectTimeoutMs: attempt.connectTimeoutMs,
    headTimeoutMs: attempt.headTimeoutMs,
    suspectAfterMs: Math.min(route.latencyTargetMs, MAX_SUSPECT_MS),
  };
};

const describeForwarded = (
  {configuration, route, service, workspace}: runContext.AcceptedRequest,
  {model, isModelFixed, history}: UpstreamAttempt,
  {attempts}: runContext.ForwardAttempt,
): protocol.ForwardedRequest => ({
  configuration,
  route: route.name,
  service: service.name,
  ...(workspace ? {workspace: workspace.name} : {}),
  attempts,
  sends: history.sends,
  isRepeat: history.isRepeat,
  ...(isModelFixed && model !== undefined ? {model} : {}),
});

/** The configuration by which a request was accepted, for the log. */
const describeConfiguration = ({
  configuration,
  configurationAgeMs,
}: runContext.AcceptedRequest): telemetry.Details => ({
  configuration,
  ...(configurationAgeMs === undefined
    ? {}
    : {configurationAgeMs: Math.round(configurationAgeMs)}),
});

/** Sends a request. A failed attempt is settled here, others by the caller. */
export const sendAttempt = async (
  dependencies: runContext.RunDependencies,
  context: runContext.RunContext,
  attempt: UpstreamAttempt,
): Promise<
  purify.Either<upstreamCall.CallFailure, upstreamCall.UpstreamAnswer>
> => {
  const {request, log} = context;
  const {placed, model, signal} = attempt;
  const {upstream, forward, inputs} = placed;
  const startedAtMs = dependencies.clock.now();
  if (forward) {
    log.step('request_forwarded', {peer: upstream.id, ...forward, ...inputs});
  } else {
    log.step('request_placed', {
      upstream: upstream.id,
      model,
      leftMs: Math.round(request.deadlineMs - startedAtMs),
      ...inputs,
      ...describeConfiguration(request),
    });
  }
  const open = forward ? dependencies.openForward : dependencies.openCall;
  const opened = await open(createCall(dependencies, context, attempt), signal);
  const tookMs = Math.round(dependencies.clock.now() - startedAtMs);
  const isBroken = opened.isLeft() && opened.extract().reason === 'broken';
  const whenChecked = isBroken ? placed.recordBreak() : undefined;
  opened.caseOf({
    Left: failure => {
      placed.settle(outcomeOf(failure, signal));
      log.failure('try_failed', {
        ...(forward ? {peer: upstream.id} : {upstream: upstream.id}),
        ...describeFailure(failure),
        tookMs,
      });
    },
    Right: ({body}) => {
      placed.recordHead(body.socket);
    },
  });
  await whenChecked;
  return opened;
};
