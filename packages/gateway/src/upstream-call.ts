/**
 * One HTTP exchange with one upstream. Its outcome says whether the request may
 * have run, which decides whether it may be sent again.
 *
 * Uses `node:http` rather than wreck: request targets must go out byte for
 * byte, and bytes that arrive on a kept connection after the end of an answer
 * must be noticed.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as decisions from '@amaranthknot/decisions';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as routing from '@amaranthknot/routing';
import type * as connectionPool from './connection-pool.js';
import type * as headerNames from './header-names.js';
import type * as linkMonitor from './link-monitor.js';
import * as rawHeaders from './raw-headers.js';
import * as upstreamNotices from './upstream-notices.js';

/** A request to one upstream. */
export interface UpstreamRequest {
  readonly upstream: routing.Upstream;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Without hop-by-hop headers; `Host` included. */
  readonly headers: rawHeaders.RawHeaders;
  readonly body: Buffer;
  /**
   * `fresh` uses a connection of its own, for requests that may run at most
   * once: on a kept connection a late answer to another request may be waiting,
   * or the upstream may close it during the send, which leaves the outcome
   * unknown.
   */
  readonly connection: 'fresh' | 'kept';
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
      readonly reason: 'broken' | 'foreign_answer' | 'silent' | 'cancelled';
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

/** Whether a call's connection broke after its answer's head. */
type IsBroken = () => boolean;

/** Decides what the head of an answer means. */
type ClassifyAnswer = (
  request: UpstreamRequest,
  response: http.IncomingMessage,
  isBroken: IsBroken,
) => purify.Either<CallFailure, UpstreamAnswer>;

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

  const classify: ClassifyAnswer = (request, response, isBroken) => {
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
      response.resume();
      return purify.Left({ran: 'not_run', reason: 'other_upstream', status});
    }
    const notices = parseNotices(status, headers);
    recordNotices(request.upstream, notices);
    if (rawHeaders.findHeader(headers, lowerNames.notRun) !== undefined) {
      response.resume();
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
      isBroken,
    });
  };

  return createOpen(pool, classify, links);
};

/** Records the notices in an answer of the upstream with this id. */
export type RecordForwardedNotices = (
  upstream: string,
  notices: upstreamNotices.UpstreamNotices,
) => void;

/**
 * Creates the function that forwards requests to other instances. What an
 * upstream says about itself in an answer that is passed on binds this instance
 * too.
 */
export const createOpenForward = (
  pool: connectionPool.ConnectionPool,
  names: headerNames.HeaderNames,
  recordNotices: RecordForwardedNotices,
): OpenCall => {
  const parseNotices = upstreamNotices.createParseNotices(names);
  const requestIdName = names.requestId.toLowerCase();
  const classify: ClassifyAnswer = (request, response, isBroken) => {
    const headers = response.rawHeaders;
    const status = response.statusCode ?? 0;
    const refusal = rawHeaders.findHeader(headers, REFUSAL_NAME);
    if (refusal !== undefined) {
      response.resume();
      return purify.Left(classifyRefusal(refusal, status, headers));
    }
    if (rawHeaders.findHeader(headers, requestIdName) !== request.requestId) {
      response.destroy();
      return purify.Left({ran: 'unknown', reason: 'foreign_answer'});
    }
    const model = rawHeaders.findHeader(headers, MODEL_NAME);
    const upstream = rawHeaders.findHeader(headers, UPSTREAM_NAME);
    if (upstream !== undefined) {
      recordNotices(upstream, parseNotices(status, headers));
    }
    return purify.Right({
      status,
      headers: rawHeaders.keepEndToEnd(headers, FORWARD_NAMES),
      ...(model === undefined ? {} : {model}),
      ...(upstream === undefined ? {} : {upstream}),
      body: response,
      isBroken,
    });
  };
  return createOpen(pool, classify, NO_LINK_OBSERVER);
};

/** Links to other instances are not those to upstreams. */
const NO_LINK_OBSERVER: linkMonitor.LinkObserver = {
  record: () => undefined,
  recordSilence: () => undefined,
};

const REFUSAL_NAME = protocol.FORWARD_HEADERS.refusal.toLowerCase();
const MODEL_NAME = protocol.FORWARD_HEADERS.model.toLowerCase();
const UPSTREAM_NAME = protocol.FORWARD_HEADERS.upstream.toLowerCase();

/** Headers of a forwarded answer that its caller does not get. */
const FORWARD_NAMES: ReadonlySet<string> = new Set([
  REFUSAL_NAME,
  MODEL_NAME,
  UPSTREAM_NAME,
]);

/** Statuses of refusals after which the request may have run. */
const MAY_HAVE_RUN: ReadonlySet<number> = new Set([500, 502, 504]);

const classifyRefusal = (
  refusal: string,
  status: number,
  headers: rawHeaders.RawHeaders,
): CallFailure => {
  if (MAY_HAVE_RUN.has(status)) {
    return {ran: 'unknown', reason: 'broken'};
  }
  const retryAfter = rawHeaders.findHeader(headers, 'retry-after');
  return {
    ran: 'not_run',
    reason: refusal === 'no_upstream' ? 'no_upstream' : 'refused',
    status,
    backoffMs: decisions.parseRetryAfterMs(retryAfter),
  };
};

/** Creates the function that calls servers and classifies their answers. */
const createOpen =
  (
    pool: connectionPool.ConnectionPool,
    classify: ClassifyAnswer,
    links: linkMonitor.LinkObserver,
  ): OpenCall =>
  (request, signal) =>
    new Promise(resolve => {
      if (signal.aborted) {
        resolve(purify.Left({ran: 'not_run', reason: 'unreachable'}));
        return;
      }
      const {upstream, body} = request;
      const sending = http.request({
        host: upstream.address.host,
        port: upstream.address.port,
        method: request.method,
        path: request.target,
        agent: pool.agentOf(upstream, request.connection),
        setHost: false,
        headers: request.headers as string[],
      });
      const tracker = trackConnection(sending, request.connectTimeoutMs);
      const cancel = () => sending.destroy();
      signal.addEventListener('abort', cancel);
      let isSilent = false;
      const headTimer = setTimeout(() => {
        isSilent = true;
        sending.destroy();
      }, request.headTimeoutMs);
      const suspectTimer = setTimeout(() => {
        links.recordSilence(upstream, request.suspectAfterMs);
      }, request.suspectAfterMs);
      const clearTimers = () => {
        clearTimeout(headTimer);
        clearTimeout(suspectTimer);
      };
      let hasFailed = false;
      let hasAnswered = false;
      const fail = () => {
        clearTimers();
        if (!hasAnswered && !signal.aborted) {
          links.record(upstream, 'failed');
        }
        resolve(purify.Left(tracker.describe(isSilent, signal)));
      };
      sending.once('response', response => {
        clearTimers();
        hasAnswered = true;
        links.record(
          upstream,
          sending.reusedSocket ? 'answered_kept' : 'answered_new',
        );
        response.once('close', () => {
          signal.removeEventListener('abort', cancel);
        });
        // A body that breaks before it is read must not end the process.
        response.on('error', () => undefined);
        const wasReset = watchForReset(response);
        resolve(classify(request, response, () => hasFailed || wasReset()));
      });
      // An error after the head concerns the body, whose reader handles it.
      sending.on('error', () => {
        hasFailed = true;
        signal.removeEventListener('abort', cancel);
        fail();
      });
      sending.once('close', fail);
      sending.end(body);
    });

/**
 * Distinguishes a connection that was reset from one that was closed.
 *
 * Guards against a reset that arrives with the last bytes of an answer: the
 * event loop reports a reset and a close alike, as bytes and a clean end, so an
 * answer without a length looks complete. After a reset the socket has no
 * remote address, after a close it still has. The socket caches the address, so
 * it must not be read earlier.
 */
const watchForReset = ({
  headers,
  socket,
}: http.IncomingMessage): (() => boolean) => {
  const hasLength =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  let wasReset = false;
  if (hasLength) {
    return () => false;
  }
  socket.prependOnceListener('end', () => {
    wasReset = socket.remoteAddress === undefined;
  });
  return () => wasReset;
};

/** Tracks whether a connection was established, so that bytes may have left. */
const trackConnection = (
  sending: http.ClientRequest,
  connectTimeoutMs: number,
): {
  readonly describe: (isSilent: boolean, signal: AbortSignal) => CallFailure;
} => {
  let wasConnected = false;
  sending.once('socket', (socket: net.Socket) => {
    if (!socket.connecting) {
      wasConnected = true;
      return;
    }
    const timer = setTimeout(() => sending.destroy(), connectTimeoutMs);
    sending.once('close', () => {
      clearTimeout(timer);
    });
    socket.once('connect', () => {
      wasConnected = true;
      clearTimeout(timer);
    });
  });
  return {
    describe: (isSilent, signal) => {
      if (!wasConnected) {
        return {ran: 'not_run', reason: 'unreachable'};
      }
      const reason = signal.aborted ? 'cancelled' : 'broken';
      return {ran: 'unknown', reason: isSilent ? 'silent' : reason};
    },
  };
};
