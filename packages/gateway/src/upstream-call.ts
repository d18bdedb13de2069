/**
 * One exchange with one upstream. Its outcome says whether the request can
 * have run, on which everything depends that is done next.
 *
 * Uses `node:http` itself and not wreck: targets go out byte for byte, and a
 * kept connection must show bytes that arrive after an answer's end.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as purify from 'purify-ts';
import type * as routing from '@amaranthknot/routing';
import type * as connectionPool from './connection-pool.js';
import type * as headerNames from './header-names.js';
import * as rawHeaders from './raw-headers.js';

/** A request to one upstream. */
export interface UpstreamRequest {
  readonly upstream: routing.Upstream;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Without those that concern one connection; `Host` included. */
  readonly headers: rawHeaders.RawHeaders;
  readonly body: Buffer;
  /**
   * `fresh`: over a connection of its own. What may run at most once goes this
   * way: on a kept connection another request's late answer may wait, or the
   * upstream close it as we send, and the outcome would be unknown.
   */
  readonly connection: 'fresh' | 'kept';
  /** Longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
}

/** Load as an upstream tells it with an answer. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Why there is no answer. */
export type CallFailure =
  | {
      readonly ran: 'not_run';
      readonly reason: 'unreachable' | 'refused' | 'other_upstream';
      readonly load?: UpstreamLoad;
    }
  | {
      readonly ran: 'unknown';
      readonly reason: 'broken' | 'foreign_answer' | 'silent' | 'cancelled';
    };

/** An answer whose head has come. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: rawHeaders.RawHeaders;
  readonly load?: UpstreamLoad;
  /** 0 to 100. */
  readonly confidence?: number;
  readonly body: http.IncomingMessage;
  /**
   * Whether the connection broke. An answer without a length ends with its
   * connection, and one that was reset looks as complete as one that was
   * closed.
   */
  readonly isBroken: () => boolean;
}

/** Opens exchanges. */
export type OpenCall = (
  request: UpstreamRequest,
  signal: AbortSignal,
) => Promise<purify.Either<CallFailure, UpstreamAnswer>>;

/** Takes in the limit that an upstream's answer names; undefined: none. */
export type RecordLimit = (
  upstreamId: string,
  perSecond: number | undefined,
) => void;

/** Statuses by which an upstream may say that a request has not run. */
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

/** A limit that can't be read, or is below nothing, is none. */
const parseRate = (text: string | undefined): number | undefined => {
  const rate = parseNumber(text);
  return rate === undefined || rate < 0 ? undefined : rate;
};

/** Creates the function that opens exchanges. */
export const createOpenCall = (
  pool: connectionPool.ConnectionPool,
  names: headerNames.HeaderNames,
  recordLimit: RecordLimit,
): OpenCall => {
  const lower = {
    requestId: names.requestId.toLowerCase(),
    notRun: names.notRun.toLowerCase(),
    load: names.load.toLowerCase(),
    confidence: names.confidence.toLowerCase(),
    rateLimit: names.rateLimit.toLowerCase(),
  };

  const classify = (
    request: UpstreamRequest,
    response: http.IncomingMessage,
    isBroken: () => boolean,
  ): purify.Either<CallFailure, UpstreamAnswer> => {
    const headers = response.rawHeaders;
    const status = response.statusCode ?? 0;
    const load = parseLoad(rawHeaders.findHeader(headers, lower.load));
    // A late or doubled answer to an earlier request on this connection bears
    // that request's identity. Handed on, a caller would get another's answer.
    if (rawHeaders.findHeader(headers, lower.requestId) !== request.requestId) {
      response.destroy();
      return purify.Left({ran: 'unknown', reason: 'foreign_answer'});
    }
    const isOther = status === MISDIRECTED;
    if (!isOther) {
      const limit = rawHeaders.findHeader(headers, lower.rateLimit);
      recordLimit(request.upstream.id, parseRate(limit));
    }
    if (isOther || rawHeaders.findHeader(headers, lower.notRun) !== undefined) {
      response.resume();
      return purify.Left({
        ran: 'not_run',
        reason: isOther ? 'other_upstream' : 'refused',
        ...(load ? {load} : {}),
      });
    }
    const confidence = parseNumber(
      rawHeaders.findHeader(headers, lower.confidence),
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

  return (request, signal) =>
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
      const silence = setTimeout(() => {
        isSilent = true;
        sending.destroy();
      }, request.headTimeoutMs);
      let hasFailed = false;
      const fail = () => {
        clearTimeout(silence);
        resolve(purify.Left(tracker.describe(isSilent, signal)));
      };
      sending.once('response', response => {
        clearTimeout(silence);
        response.once('close', () => {
          signal.removeEventListener('abort', cancel);
        });
        // Until its reader listens, a broken body must not end the process.
        response.on('error', () => undefined);
        const wasReset = watchForReset(response);
        resolve(classify(request, response, () => hasFailed || wasReset()));
      });
      // Errors after the head are the body's, and its reader sees them.
      sending.on('error', () => {
        hasFailed = true;
        signal.removeEventListener('abort', cancel);
        fail();
      });
      sending.once('close', fail);
      sending.end(body);
    });
};

/**
 * Tells a connection that was reset from one that was closed.
 *
 * Guards against a reset that arrives with an answer's last bytes: the event
 * loop reports both as bytes and a clean end, and an answer without a length
 * then looks whole. A connection that was reset no longer has a peer, one
 * that the peer closed still has. The address is kept once it was read, so it
 * must not be asked for earlier.
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

/** Follows whether a connection was ever there, so that bytes can have left. */
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
