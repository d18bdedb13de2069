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
import * as openConnection from './open-connection.js';
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
  async (request, signal) => {
    const isAborted = (): boolean => signal.aborted;
    if (isAborted()) {
      return purify.Left({ran: 'not_run', reason: 'unreachable'});
    }
    const {upstream, connection} = request;
    if (pool.hasIdle(upstream, connection)) {
      return exchange(pool, classify, links, {request, signal});
    }
    const opened = await openConnection.openConnection(pool, request, signal);
    if (!opened) {
      if (!isAborted()) {
        links.record(upstream, 'failed');
      }
      return purify.Left({ran: 'not_run', reason: 'unreachable'});
    }
    if (!(await request.maySend()) || isAborted()) {
      opened.destroy();
      return purify.Left({ran: 'not_run', reason: 'withdrawn'});
    }
    return exchange(pool, classify, links, {request, signal, opened});
  };

/** One call, and the connection that was opened for it. */
interface OpenedCall {
  readonly request: upstreamCall.UpstreamRequest;
  readonly signal: AbortSignal;
  /** Undefined if it goes out over a kept connection. */
  readonly opened?: net.Socket;
}

/** Sends a request at once; resolves when the answer's head has arrived. */
const exchange = (
  pool: connectionPool.ConnectionPool,
  classify: ClassifyAnswer,
  links: linkMonitor.LinkObserver,
  {request, signal, opened}: OpenedCall,
): ReturnType<upstreamCall.OpenCall> =>
  new Promise(resolve => {
    const {upstream} = request;
    const options = {
      host: upstream.address.host,
      port: upstream.address.port,
      method: request.method,
      path: request.target,
      agent: pool.agentOf(upstream, request.connection),
      setHost: false,
      headers: request.createHeaders() as string[],
      ...(opened ? {opened} : {}),
    };
    const sending = http.request(options);
    ports.boundAnswer(sending);
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
    let failedBy: Error | undefined;
    let hasAnswered = false;
    const fail = () => {
      clearTimers();
      if (!hasAnswered && !signal.aborted) {
        links.record(upstream, 'failed');
      }
      resolve(purify.Left(describeFailure(failedBy, isSilent, signal)));
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
      if (!decisions.isFinalHead(response)) {
        response.destroy();
        const {statusCode: status = 0} = response;
        resolve(purify.Left({ran: 'unknown', reason: 'invalid_head', status}));
        return;
      }
      const framing = decisions.findFraming(request.method, response);
      const endsEarly =
        framing === 'connection'
          ? ports.watchForEarlyEnd(sending, response)
          : () => false;
      const isBroken = () => failedBy !== undefined || endsEarly();
      resolve(classify(request, response, {framing, isBroken}));
    });
    // An error after the head concerns the body, whose reader handles it.
    sending.on('error', error => {
      failedBy = error;
      signal.removeEventListener('abort', cancel);
      fail();
    });
    sending.once('close', fail);
    sending.end(request.body);
  });

/** Why a request that was sent got no answer. */
const describeFailure = (
  error: Error | undefined,
  isSilent: boolean,
  signal: AbortSignal,
): upstreamCall.CallFailure => {
  if (error && ports.isEndlessAnswer(error)) {
    return {ran: 'unknown', reason: 'endless'};
  }
  const reason = signal.aborted ? 'cancelled' : 'broken';
  return {ran: 'unknown', reason: isSilent ? 'silent' : reason};
};
