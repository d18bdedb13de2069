/**
 * One HTTP exchange with one upstream. Its outcome says whether the request may
 * have run, which decides whether it may be sent again.
 *
 * Uses `node:http` rather than wreck: request targets must go out byte for
 * byte, and bytes that arrive on a kept connection after the end of an answer
 * must be noticed.
 */
import type * as http from 'node:http';
import type * as decisions from '@amaranthknot/decisions';
import * as purify from 'purify-ts';
import type * as routing from '@amaranthknot/routing';
import type * as connectionPool from './connection-pool.js';
import * as discardRefusal from './discard-refusal.js';
import type * as headerNames from './header-names.js';
import type * as linkMonitor from './link-monitor.js';
import * as openExchange from './open-exchange.js';
import * as rawHeaders from './raw-headers.js';
import * as upstreamNotices from './upstream-notices.js';

/** A request to one upstream. */
export interface UpstreamRequest {
  readonly upstream: routing.Upstream;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /**
   * Without hop-by-hop headers; `Host` included. Called when it is sent, as they
   * state the time that is left.
   */
  readonly createHeaders: () => rawHeaders.RawHeaders;
  readonly body: Buffer;
  /**
   * `fresh` uses a connection of its own, for requests that may run at most
   * once: on a kept connection a late answer to another request may be waiting,
   * or the upstream may close it during the send, which leaves the outcome
   * unknown.
   */
  readonly connection: 'fresh' | 'kept';
  /** Resolves to whether to send it, once its connection is established. */
  readonly maySend: () => Promise<boolean>;
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
  /** Wait for the head after which the link is suspected, in milliseconds. */
  readonly suspectAfterMs: number;
}

/** Load that an upstream reports in the headers of an answer. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Why a call gave no answer, and whether the request may have run. */
export type CallFailure =
  | {
      readonly ran: 'not_run';
      readonly reason:
        | 'unreachable'
        | 'refused'
        | 'other_upstream'
        /** It was not to be sent any more once its connection was open. */
        | 'withdrawn'
        /** An instance that it was forwarded to found no upstream. */
        | 'no_upstream';
      readonly load?: UpstreamLoad;
      /** Status of the refusal; undefined if no answer came. */
      readonly status?: number;
      /** Time for which the upstream wants no requests, in milliseconds. */
      readonly backoffMs?: number | undefined;
    }
  | {
      readonly ran: 'unknown';
      readonly reason:
        | 'broken'
        /** Its head is not that of a final answer. */
        | 'invalid_head'
        | 'foreign_answer'
        | 'silent'
        | 'cancelled'
        /** It sent bytes without end that are no answer. */
        | 'endless';
      /** Status of a head that is none of a final answer. */
      readonly status?: number;
    };

/** An answer whose head has arrived. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: rawHeaders.RawHeaders;
  readonly load?: UpstreamLoad;
  /** The model's confidence in its answer, 0 to 100. */
  readonly confidence?: number;
  /** The model that answers, if another instance chose it. */
  readonly model?: string;
  /** Id of the upstream that answers, if another instance chose it. */
  readonly upstream?: string;
  readonly body: http.IncomingMessage;
  readonly framing: decisions.AnswerFraming;
  /**
   * Whether the connection broke. An answer without a length ends when its
   * connection ends, so a reset makes it look as complete as a close does.
   */
  readonly isBroken: () => boolean;
}

/** Sends a request; resolves when the answer's head has arrived. */
export type OpenCall = (
  request: UpstreamRequest,
  signal: AbortSignal,
) => Promise<purify.Either<CallFailure, UpstreamAnswer>>;

/** Receives what calls show of the upstreams. */
export interface CallObserver {
  readonly recordNotices: upstreamNotices.RecordNotices;
  readonly links: linkMonitor.LinkObserver;
}

/** Status by which another upstream than the expected one refuses to run. */
const MISDIRECTED = 421;

const parseLoad = (text: string | undefined): UpstreamLoad | undefined => {
  const [running, waiting, slots] = (text ?? '').split(',').map(Number);
  return running !== undefined && Number.isFinite(running)
    ? {running, waiting: waiting ?? 0, slots: slots ?? 0}
    : undefined;
};

const parseNumber = (text: string | undefined): number | undefined => {
  const value = Number(text);
  return text === undefined || !Number.isFinite(value) ? undefined : value;
};

/** Creates the function that calls upstreams. */
export const createOpenCall = (
  pool: connectionPool.ConnectionPool,
  names: headerNames.HeaderNames,
  {recordNotices, links}: CallObserver,
): OpenCall => {
  const parseNotices = upstreamNotices.createParseNotices(names);
  const lowerNames = {
    requestId: names.requestId.toLowerCase(),
    notRun: names.notRun.toLowerCase(),
    load: names.load.toLowerCase(),
    confidence: names.confidence.toLowerCase(),
  };

  const classify: openExchange.ClassifyAnswer = (
    request,
    response,
    {framing, isBroken},
  ) => {
    const headers = response.rawHeaders;
    const status = response.statusCode ?? 0;
    const load = parseLoad(rawHeaders.findHeader(headers, lowerNames.load));
    // A late or duplicate answer to an earlier request on this connection has
    // that request's id. Passed on, it would give a caller another's answer.
    if (
      rawHeaders.findHeader(headers, lowerNames.requestId) !== request.requestId
    ) {
      response.destroy();
      return purify.Left({ran: 'unknown', reason: 'foreign_answer'});
    }
    if (status === MISDIRECTED) {
      // Its headers are about the upstream that answered, not the expected one.
      discardRefusal.discardRefusal(response);
      return purify.Left({ran: 'not_run', reason: 'other_upstream', status});
    }
    const notices = parseNotices(status, headers);
    recordNotices(request.upstream, notices);
    if (rawHeaders.findHeader(headers, lowerNames.notRun) !== undefined) {
      discardRefusal.discardRefusal(response);
      return purify.Left({
        ran: 'not_run',
        reason: 'refused',
        status,
        backoffMs: notices.backoffMs,
        ...(load ? {load} : {}),
      });
    }
    const confidence = parseNumber(
      rawHeaders.findHeader(headers, lowerNames.confidence),
    );
    return purify.Right({
      status,
      headers,
      ...(load ? {load} : {}),
      ...(confidence === undefined ? {} : {confidence}),
      body: response,
      framing,
      isBroken,
    });
  };

  return openExchange.createOpen(pool, classify, links);
};
