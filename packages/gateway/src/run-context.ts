/** Types that the modules of the gateway share: requests, attempts, runs. */
import type * as purify from 'purify-ts';
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as routing from '@amaranthknot/routing';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as answerEnds from './answer-ends.js';
import type * as attemptHistory from './attempt-history.js';
import type * as callerRequest from './caller-request.js';
import type * as escalationPolicy from './escalation-policy.js';
import type * as headerNames from './header-names.js';
import type * as refusals from './refusal.js';
import type * as upstreamProbe from './upstream-probe.js';
import type * as upstreamCall from './upstream-call.js';

/** A request that may run, with its route, service, workspace and deadline. */
export interface AcceptedRequest {
  readonly caller: callerRequest.CallerRequest;
  readonly route: routing.Route;
  readonly service: routing.Service;
  readonly workspace: routing.Workspace | undefined;
  /** Time by which the final answer is due, by this instance's clock. */
  readonly deadlineMs: number;
  /** Version of the configuration by which it was accepted. */
  readonly configuration: number;
  /**
   * Age of that configuration then, in milliseconds; undefined if another
   * instance accepted the request.
   */
  readonly configurationAgeMs?: number;
  /** Present if another instance forwarded it. */
  readonly forwarded?: protocol.ForwardedRequest;
}

/**
 * Why a run or one of its attempts is aborted before its answer. After
 * `upstream_silent` and `upstream_lost` the run fails over to another upstream;
 * a lost upstream, unlike a silent one, accepts no connection either.
 */
export type AbortReason =
  | 'caller_left'
  | 'time_up'
  /** This instance ends. */
  | 'stopping'
  | 'not_needed'
  | 'upstream_silent'
  | 'upstream_lost';

/** How one attempt at an upstream ended, for placement. */
export type AttemptOutcome = decisions.PickOutcome;

/** An attempt by way of another instance, which chooses upstreams itself. */
export interface ForwardAttempt {
  /** Number of upstreams on which that instance may run the request. */
  readonly attempts: number;
}

/** An attempt for which an upstream was chosen. */
export interface PlacedAttempt {
  /** The upstream, or the instance that the request is forwarded to. */
  readonly upstream: routing.Upstream;
  /** Present if it is forwarded to another instance. */
  readonly forward?: ForwardAttempt;
  /** Inputs of the choice, for the log. */
  readonly inputs: telemetry.Details;
  /** Whether the upstream is still in service. */
  readonly isInService: () => boolean;
  /**
   * Call it when the head of the answer has arrived.
   *
   * @param connection identifies the connection that brought it, if known.
   */
  readonly recordHead: (connection?: object) => void;
  /** Call it when an event of the answer has arrived. */
  readonly recordEvent: () => void;
  /**
   * Call it when the connection broke before the answer was complete. Resolves
   * when the request may be sent to another upstream.
   */
  readonly recordBreak: () => Promise<void>;
  /** Call it when the attempt has ended. */
  readonly settle: (outcome: AttemptOutcome) => void;
}

/**
 * Why a request is sent: for the first time, again after a failure, beside an
 * attempt that is late, by the capable model after the cheap one, or to go on
 * with a stream that broke off.
 */
export type SendPurpose =
  'first' | 'retry' | 'hedge' | 'escalation' | 'resumption';

/** An attempt that needs an upstream. */
export interface PlacementRequest {
  readonly request: AcceptedRequest;
  readonly purpose: SendPurpose;
  readonly model: string | undefined;
  /** Ids of upstreams that already failed for this request. */
  readonly excluded: ReadonlySet<string>;
  /** What happened to the request before. */
  readonly history: attemptHistory.AttemptSummary;
}

/** Why an attempt was not placed. */
export interface PlacementRefusal {
  readonly reason: refusals.PlacementReason;
  /**
   * Time until an upstream takes the request, in milliseconds; undefined if
   * that is not known.
   */
  readonly waitMs: number | undefined;
  /** Inputs of the decision, for the log. */
  readonly inputs: telemetry.Details;
}

/** Chooses an upstream for an attempt. */
export type PlaceAttempt = (
  toPlace: PlacementRequest,
) => purify.Either<PlacementRefusal, PlacedAttempt>;

/** What runs need to know of this instance's links to upstreams. */
export interface LinkStates {
  /** Whether no upstream of the service is reached. */
  readonly isLost: (service: string) => boolean;
  /** Resolves when the links to the service are lost, or `signal` aborts. */
  readonly whenLost: (service: string, signal: AbortSignal) => Promise<void>;
}

/** What runs of requests need. */
export interface RunDependencies {
  readonly clock: ports.Clock;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  readonly headerConventions: headerNames.HeaderConventions;
  readonly place: PlaceAttempt;
  readonly openCall: upstreamCall.OpenCall;
  /** Forwards a request to another instance. */
  readonly openForward: upstreamCall.OpenCall;
  readonly links: LinkStates;
  readonly latencies: decisions.LatencyEstimates;
  readonly probe: upstreamProbe.ProbeUpstream;
  /** Probes another instance. */
  readonly probePeer: upstreamProbe.ProbeUpstream;
  readonly escalation: escalationPolicy.EscalationPolicy;
  readonly confirmEnd: answerEnds.ConfirmEnd;
}

/** One run of a request, with its log and its abort signal. */
export interface RunContext {
  readonly request: AcceptedRequest;
  readonly log: telemetry.RequestLog;
  /** Aborts, with an `AbortReason`, when no answer is awaited any longer. */
  readonly signal: AbortSignal;
  /**
   * Resolves to whether an answer is still awaited, by all that has arrived;
   * asked before each attempt.
   */
  readonly isAwaited: () => Promise<boolean>;
  /** Bytes that the exchange holds; absent where they are not bounded. */
  readonly memory?: decisions.MemoryLease;
}

/** The reason with which a signal of a run or an attempt was aborted. */
export const abortReasonOf = (signal: AbortSignal): AbortReason =>
  signal.reason as AbortReason;
