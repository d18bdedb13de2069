/** Client of plain services: one call, one outcome, never a retry. */
import * as http from 'node:http';
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

/** A service's whole answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** A call that gave no whole answer. */
export interface ServiceFailure {
  readonly code: 'unreachable' | 'overloaded' | 'crossed' | 'broken';
  readonly ran: engineClient.ExecutionStatus;
  readonly message: string;
}

/** Calls a service. */
export type ServiceClient = (
  call: ServiceCall,
  signal: AbortSignal,
) => Promise<purify.Either<ServiceFailure, ServiceAnswer>>;

/** Largest answer taken from a service, in bytes. */
export const MAX_ANSWER_BYTES = 1024 * 1024;

/** Longest wait for a service's answer, in milliseconds. */
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
  if (status === 429 && saysNotRun(body)) {
    const message = 'the service is at its limit';
    return purify.Left({code: 'overloaded', ran: 'not_run', message});
  }
  const identity = response.headers['x-request-id'];
  if (identity !== undefined && identity !== call.requestId) {
    // A kept connection that delivers another call's late answer shows as a
    // foreign identity; our own call's outcome is then not known.
    const message = 'the answer belongs to another request';
    return purify.Left({code: 'crossed', ran: 'unknown', message});
  }
  const contentType = response.headers['content-type'] ?? 'application/json';
  return purify.Right({status, contentType, body});
};

/** Creates a client over kept connections. */
export const createServiceClient = (
  timeoutMs = DEFAULT_TIMEOUT_MS,
): ServiceClient => {
  // A kept connection that the service closes as we send would leave it
  // unclear whether the call ran, so each call takes a connection of its own.
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
    const abort = () => sending.req.destroy(new Error('aborted'));
    signal.addEventListener('abort', abort);
    try {
      const response = await sending;
      const body = await wreck.default.read(response, {
        timeout: timeoutMs,
        maxBytes: MAX_ANSWER_BYTES,
      });
      return classifyAnswer(call, response, body);
    } catch (error) {
      return purify.Left(describeError(error));
    } finally {
      signal.removeEventListener('abort', abort);
    }
  };
};
