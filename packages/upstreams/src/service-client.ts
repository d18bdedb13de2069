/** Client of plain services: one call, one outcome, no retries. */
import * as http from 'node:http';
import * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as wreck from '@hapi/wreck';
import type * as engineClient from './engine-client.js';

/** A call to a plain service. */
export interface ServiceCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
  readonly contentType?: string;
  readonly body?: Buffer;
}

/** A service's complete answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** A call without a complete answer, and whether it may have run. */
export interface ServiceFailure {
  readonly code: 'unreachable' | 'overloaded' | 'crossed' | 'broken';
  readonly ran: engineClient.ExecutionStatus;
  readonly message: string;
  /** Time for which the service wants no requests, in milliseconds. */
  readonly backoffMs?: number | undefined;
}

/** Calls a service; a failed call resolves to a Left. */
export type ServiceClient = (
  call: ServiceCall,
  signal: AbortSignal,
) => Promise<purify.Either<ServiceFailure, ServiceAnswer>>;

/** Largest accepted answer of a service, in bytes. */
export const MAX_ANSWER_BYTES = 1024 * 1024;

/** Timeout of a call, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 10_000;

const NEVER_CONNECTED = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH/;

const describeError = (error: unknown): ServiceFailure => {
  const failure = error as {code?: string; data?: {code?: string} | null};
  const code = failure.code ?? failure.data?.code ?? '';
  const message = error instanceof Error ? error.message : String(error);
  return NEVER_CONNECTED.test(code)
    ? {code: 'unreachable', ran: 'not_run', message}
    : {code: 'broken', ran: 'unknown', message};
};

const saysNotRun = (body: Buffer): boolean => {
  try {
    const parsed = JSON.parse(body.toString()) as {error?: {ran?: boolean}};
    return parsed.error?.ran === false;
  } catch {
    return false;
  }
};

const classifyAnswer = (
  call: ServiceCall,
  response: http.IncomingMessage,
  body: Buffer,
): purify.Either<ServiceFailure, ServiceAnswer> => {
  const status = response.statusCode ?? 0;
  if (!decisions.isFinalHead(response)) {
    const message = `status ${status} is not that of a final answer`;
    return purify.Left({code: 'broken', ran: 'unknown', message});
  }
  if (status === 429 && saysNotRun(body)) {
    const message = 'the service is at its limit';
    const backoffMs = decisions.parseRetryAfterMs(
      response.headers['retry-after'],
    );
    return purify.Left({
      code: 'overloaded',
      ran: 'not_run',
      message,
      backoffMs,
    });
  }
  const answeredId = response.headers['x-request-id'];
  if (answeredId !== undefined && answeredId !== call.requestId) {
    // A late answer to another call carries that call's id. The outcome of this
    // call is then unknown.
    const message = 'the answer belongs to another request';
    return purify.Left({code: 'crossed', ran: 'unknown', message});
  }
  const contentType = response.headers['content-type'] ?? 'application/json';
  return purify.Right({status, contentType, body});
};

/** Resolves to what the service at `address` shows after this moment. */
export type CheckService = (address: string) => Promise<decisions.LivenessSign>;

/** A response as far as it has arrived. */
interface ArrivedResponse {
  readonly framing: decisions.AnswerFraming;
  /** Whether its connection broke before its end. */
  readonly endsEarly: () => boolean;
}

/**
 * Why an answer that has ended may not be whole; undefined if it is.
 *
 * Guards against half an answer that is returned, billed and recorded as a
 * whole one: where a service ends while it answers without a length, its
 * connection closes as if it had sent everything.
 */
const findEarlyEnd = async (
  {framing, endsEarly}: ArrivedResponse,
  check: () => Promise<decisions.LivenessSign>,
): Promise<ServiceFailure | undefined> => {
  if (framing !== 'connection') {
    return undefined;
  }
  const sign = endsEarly() ? undefined : await check();
  if (sign !== undefined && decisions.judgeAnswerEnd(sign) === 'whole') {
    return undefined;
  }
  const reason = sign ?? 'its connection broke';
  const message = `the answer has no length and may have ended early: ${reason}`;
  return {code: 'broken', ran: 'unknown', message};
};

/**
 * Creates a client that opens a connection for each call.
 *
 * @param checkService called after the end of an answer without a length.
 */
export const createServiceClient = (
  checkService: CheckService,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): ServiceClient => {
  // If a service closed a kept connection during a send, it would be unknown
  // whether the call ran, so each call opens its own connection.
  const agent = new http.Agent({keepAlive: false});
  return async (call, signal) => {
    const sending = wreck.default.request(
      call.method,
      `http://${call.address}${call.path}`,
      {
        agent,
        timeout: timeoutMs,
        ...(call.body ? {payload: call.body} : {}),
        headers: {
          'x-request-id': call.requestId,
          ...(call.contentType ? {'content-type': call.contentType} : {}),
        },
      },
    );
    ports.boundAnswer(sending.req);
    const abort = () => sending.req.destroy(new Error('aborted'));
    signal.addEventListener('abort', abort);
    try {
      const response = await sending;
      const arrived = {
        framing: decisions.findFraming(call.method, response),
        endsEarly: ports.watchForEarlyEnd(sending.req, response),
      };
      const body = await wreck.default.read(response, {
        timeout: timeoutMs,
        maxBytes: MAX_ANSWER_BYTES,
      });
      const early = await findEarlyEnd(arrived, () =>
        checkService(call.address),
      );
      return early ? purify.Left(early) : classifyAnswer(call, response, body);
    } catch (error) {
      return purify.Left(describeError(error));
    } finally {
      signal.removeEventListener('abort', abort);
    }
  };
};
