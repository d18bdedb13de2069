/** What the parts of the gateway get from each other. */
import type * as purify from 'purify-ts';
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as callerRequest from './caller-request.js';
import type * as escalationPolicy from './escalation-policy.js';
import type * as headerNames from './header-names.js';
import type * as upstreamProbe from './upstream-probe.js';
import type * as upstreamCall from './upstream-call.js';

/** A request that may run: its route, its workspace, its last moment. */
export interface AcceptedRequest {
  readonly caller: callerRequest.CallerRequest;
  readonly route: routing.Route;
  readonly service: routing.Service;
  readonly workspace: routing.Workspace | undefined;
  /** By then the final answer is due, by this instance's clock. */
  readonly deadlineMs: number;
}

/**
 * Why a run or one of its tries ends before its answer: the reason of its
 * abort signal. `upstream_silent` and `upstream_lost` end a try that goes on
 * elsewhere; a lost upstream accepts no connection either.
 */
export type AbortReason =
  | 'caller_left'
  | 'time_up'
  | 'not_needed'
  | 'upstream_silent'
  | 'upstream_lost';

/** How one try at an upstream ended, for placement. */
export type AttemptOutcome = decisions.PickOutcome;

/** A try at an upstream that was placed. */
export interface PlacedAttempt {
  readonly upstream: routing.Upstream;
  /** What the choice was made from, for the log. */
  readonly inputs: telemetry.Details;
  /** Called when the head of the answer has come. */
  readonly recordHead: () => void;
  /** Called when an event of the answer has come. */
  readonly recordEvent: () => void;
  /** Called once when the try has ended. */
  readonly settle: (outcome: AttemptOutcome) => void;
}

/** What to place. */
export interface PlacementRequest {
  readonly request: AcceptedRequest;
  readonly model: string | undefined;
  /** Upstreams that have been tried in vain. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request has been sent to an upstream before. */
  readonly isRepeat: boolean;
}

/**
 * Why a try was not placed.
 *
 * - `no_upstream`: none may take the request now.
 * - `no_budget`: it would be a repeat beyond the budget of all instances.
 */
export type PlacementRefusal = 'no_upstream' | 'no_budget';

/** Chooses an upstream. */
export type PlaceAttempt = (
  toPlace: PlacementRequest,
) => purify.Either<PlacementRefusal, PlacedAttempt>;

/** Parts that runs of requests work with. */
export interface RunDependencies {
  readonly clock: ports.Clock;
  readonly headerConventions: headerNames.HeaderConventions;
  readonly place: PlaceAttempt;
  readonly openCall: upstreamCall.OpenCall;
  readonly latencies: decisions.LatencyEstimates;
  readonly probe: upstreamProbe.ProbeUpstream;
  readonly escalation: escalationPolicy.EscalationPolicy;
}

/** One run: a request, its log, and what ends it early. */
export interface RunContext {
  readonly request: AcceptedRequest;
  readonly log: telemetry.RequestLog;
  /** Aborts with a `RunEnd` when nobody waits any longer. */
  readonly signal: AbortSignal;
}

/** Why a run's signal aborted. */
export const abortReasonOf = (signal: AbortSignal): AbortReason =>
  signal.reason as AbortReason;
