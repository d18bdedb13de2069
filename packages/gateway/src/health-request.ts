/** Asks an upstream for its health over a new connection. */
import * as http from 'node:http';
import * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';
import type * as headerNames from './header-names.js';

/** What an upstream says of itself in an answer to a health check. */
export interface HealthAnswer {
  readonly kind: 'answered';
  readonly status: number;
  /** Id of the upstream that answers; undefined if it doesn't say. */
  readonly upstreamId: string | undefined;
  /** How long it stays cold, in ms; undefined if it doesn't say. */
  readonly coldForMs: number | undefined;
}

/**
 * Why a health check got no answer.
 *
 * - `refused`: the address refuses connections.
 * - `reset`: the connection was closed after it had been established.
 * - `silent`: the connection was established, and nothing came in time.
 * - `unreachable`: no connection was established in time.
 */
export type HealthFailure = 'refused' | 'reset' | 'silent' | 'unreachable';

/** Outcome of a health check. */
export type HealthResult = HealthAnswer | {readonly kind: HealthFailure};

/** One health check. */
export interface HealthRequest {
  readonly address: routing.Address;
  /** Undefined to open a connection without sending anything. */
  readonly healthPath: string | undefined;
  /** Id of the upstream that is to answer; any other refuses. */
  readonly expectedId?: string;
  /** Longest wait for the connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** Longest wait for an answer once it is established, in milliseconds. */
  readonly answerTimeoutMs: number;
}

/** Sends a health check; never rejects. */
export type RequestHealth = (request: HealthRequest) => Promise<HealthResult>;

/** The failure that an error of the connection means. */
const classifyError = (
  {code}: NodeJS.ErrnoException,
  isConnected: boolean,
): HealthFailure => {
  if (code === 'ECONNREFUSED') {
    return 'refused';
  }
  return isConnected || code === 'ECONNRESET' ? 'reset' : 'unreachable';
};

const parseColdFor = (
  value: string | readonly string[] | undefined,
): number | undefined => {
  const coldForMs = Number(value);
  return value !== undefined && coldForMs >= 0 ? coldForMs : undefined;
};

const readAnswer = (
  {statusCode = 0, headers}: http.IncomingMessage,
  names: headerNames.HeaderNames,
): HealthAnswer => {
  const upstreamId = headers[names.upstreamId.toLowerCase()];
  return {
    kind: 'answered',
    status: statusCode,
    upstreamId: typeof upstreamId === 'string' ? upstreamId : undefined,
    coldForMs: parseColdFor(headers[names.coldFor.toLowerCase()]),
  };
};

/** Characters that the path of a request can't have as they are. */
const UNSAFE_IN_PATH = /[^\x21-\x7e]/gu;

/**
 * A path of the operators' manifest, as it may be sent. As UTF-8 it has no half
 * of a surrogate pair, which can't be encoded.
 */
const escapePath = (path: string): string =>
  Buffer.from(path).toString().replace(UNSAFE_IN_PATH, encodeURIComponent);

/** Whether an id can be sent; ids of the store may have any characters. */
const isHeaderValue = (value: string): boolean => {
  try {
    http.validateHeaderValue('x-id', value);
    return true;
  } catch {
    // The caller gets `unreachable`.
    return false;
  }
};

/**
 * Creates the function that asks upstreams for their health.
 *
 * @param localAddress IP address from which connections are opened.
 */
export const createRequestHealth =
  (names: headerNames.HeaderNames, localAddress?: string): RequestHealth =>
  ({address, healthPath, expectedId, connectTimeoutMs, answerTimeoutMs}) =>
    new Promise(resolve => {
      if (expectedId !== undefined && !isHeaderValue(expectedId)) {
        resolve({kind: 'unreachable'});
        return;
      }
      let isConnected = false;
      const request = http.request({
        ...address,
        path: escapePath(healthPath ?? '/'),
        agent: false,
        ...(localAddress === undefined ? {} : {localAddress}),
        headers: {
          Connection: 'close',
          ...(expectedId === undefined
            ? {}
            : {[names.expectedUpstream]: expectedId}),
        },
      });
      ports.boundAnswer(request);
      const finish = (result: HealthResult) => {
        cancelTimeout();
        request.destroy();
        resolve(result);
      };
      let cancelTimeout = ports.startTimeout(() => {
        finish({kind: 'unreachable'});
      }, connectTimeoutMs);
      request.once('socket', socket => {
        socket.once('connect', () => {
          isConnected = true;
          cancelTimeout();
          cancelTimeout = ports.startTimeout(() => {
            finish({kind: 'silent'});
          }, answerTimeoutMs);
        });
      });
      request.once('response', response => {
        finish(readAnswer(response, names));
      });
      request.on('error', (error: NodeJS.ErrnoException) => {
        finish({kind: classifyError(error, isConnected)});
      });
      if (healthPath !== undefined) {
        request.end();
      }
    });
