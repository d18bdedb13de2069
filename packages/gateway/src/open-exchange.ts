/**
 * One HTTP exchange with an upstream or another instance, up to the head of its
 * answer. A failure says whether the request may have left.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as connectionPool from './connection-pool.js';
import type * as linkMonitor from './link-monitor.js';
import type * as upstreamCall from './upstream-call.js';

/** Whether a call's connection broke after its answer's head. */
type IsBroken = () => boolean;

/** What is known of an answer's body before it is read. */
export interface AnswerBody {
  readonly framing: decisions.AnswerFraming;
  readonly isBroken: IsBroken;
}

/** Decides what the head of an answer means. */
export type ClassifyAnswer = (
  request: upstreamCall.UpstreamRequest,
  response: http.IncomingMessage,
  body: AnswerBody,
) => purify.Either<upstreamCall.CallFailure, upstreamCall.UpstreamAnswer>;

/** Creates the function that calls servers and classifies their answers. */
export const createOpen =
  (
    pool: connectionPool.ConnectionPool,
    classify: ClassifyAnswer,
    links: linkMonitor.LinkObserver,
  ): upstreamCall.OpenCall =>
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
      ports.boundAnswer(sending);
      const tracker = trackConnection(sending, request.connectTimeoutMs, () => {
        sending.end(body);
      });
      const cancel = () => sending.destroy();
      signal.addEventListener('abort', cancel);
      let isSilent = false;
      const cancelHead = ports.startTimeout(() => {
        isSilent = true;
        sending.destroy();
      }, request.headTimeoutMs);
      const cancelSuspicion = ports.startTimeout(() => {
        links.recordSilence(upstream, request.suspectAfterMs);
      }, request.suspectAfterMs);
      const clearTimers = () => {
        cancelHead();
        cancelSuspicion();
      };
      let hasFailed = false;
      let hasAnswered = false;
      const fail = () => {
        clearTimers();
        const failure = tracker.describe(isSilent, signal);
        if (!hasAnswered && !signal.aborted && failure.reason !== 'late') {
          links.record(upstream, 'failed');
        }
        resolve(purify.Left(failure));
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
        const framing = decisions.findFraming(request.method, response);
        const wasReset =
          framing === 'connection'
            ? ports.watchForReset(response.socket)
            : () => false;
        const isBroken = () => hasFailed || wasReset();
        resolve(classify(request, response, {framing, isBroken}));
      });
      // An error after the head concerns the body, whose reader handles it.
      sending.on('error', error => {
        hasFailed = true;
        tracker.recordError(error);
        signal.removeEventListener('abort', cancel);
        fail();
      });
      sending.once('close', fail);
    });

/** What is known of the connection of one call. */
interface TrackedConnection {
  readonly recordError: (error: Error) => void;
  readonly describe: (
    isSilent: boolean,
    signal: AbortSignal,
  ) => upstreamCall.CallFailure;
}

/**
 * Longest time between the decision to send a request and the send, in
 * milliseconds.
 */
const MAX_UNSENT_MS = 250;

/**
 * Calls `send` once the connection is established, and tracks whether bytes may
 * have left. Nothing is sent after `MAX_UNSENT_MS`: in a process that was busy
 * meanwhile the end of the caller's connection may lie unread, and the request
 * states too much time.
 */
const trackConnection = (
  sending: http.ClientRequest,
  connectTimeoutMs: number,
  send: () => void,
): TrackedConnection => {
  let hasLeft = false;
  let isLate = false;
  let isEndless = false;
  const sendNow = () => {
    hasLeft = true;
    send();
  };
  sending.once('socket', (socket: net.Socket) => {
    if (!socket.connecting) {
      sendNow();
      return;
    }
    const startedAtMs = performance.now();
    const cancelTimeout = ports.startTimeout(
      () => sending.destroy(),
      connectTimeoutMs,
    );
    sending.once('close', cancelTimeout);
    socket.once('connect', () => {
      cancelTimeout();
      isLate = performance.now() - startedAtMs > MAX_UNSENT_MS;
      if (isLate) {
        sending.destroy();
      } else {
        sendNow();
      }
    });
  });
  return {
    recordError: error => {
      isEndless ||= ports.isEndlessAnswer(error);
    },
    describe: (isSilent, signal) => {
      if (isLate) {
        return {ran: 'not_run', reason: 'late'};
      }
      if (!hasLeft) {
        return {ran: 'not_run', reason: 'unreachable'};
      }
      if (isEndless) {
        return {ran: 'unknown', reason: 'endless'};
      }
      const reason = signal.aborted ? 'cancelled' : 'broken';
      return {ran: 'unknown', reason: isSilent ? 'silent' : reason};
    },
  };
};
