/** HTTP client of the platform, with keep-alive connections, typed failures. */
import * as http from 'node:http';
import * as decisions from '@amaranthknot/decisions';
import * as purify from 'purify-ts';
import * as wreck from '@hapi/wreck';
import * as boundAnswer from './bound-answer.js';
import * as boundWait from './bound-wait.js';
import type * as objectStore from './object-store.js';

/** Timeout of a request to the platform, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 2_000;

/** Maximum size of an answer, in bytes: a listing of values of up to 1 MB. */
const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Address and credentials of a platform API. */
export interface Endpoint {
  /** Base URL without a trailing slash. */
  readonly url: string;
  /** Bearer token; requests are unauthenticated if it is absent. */
  readonly key?: string;
  readonly timeoutMs?: number;
}

/** Status and parsed JSON body of an answer. */
export interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Error codes that prove that no byte of the request was received. */
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

interface NodeFailure {
  readonly code?: string;
  readonly cause?: NodeFailure;
  readonly data?: {readonly code?: string} | null;
}

const codeOf = (failure: NodeFailure): string | undefined =>
  failure.code ?? failure.data?.code ?? failure.cause?.code;

/**
 * Classifies a failed request. Only a connection that was not established
 * proves that a write did not take effect; a timeout or reset may come after it
 * did.
 */
const toStoreError = (failure: unknown): objectStore.StoreError => {
  const code = codeOf(failure as NodeFailure);
  const message = failure instanceof Error ? failure.message : String(failure);
  if (code !== undefined && NEVER_SENT.has(code)) {
    return {code: 'unavailable', message};
  }
  return {code: 'unknown', message};
};

/** Sends JSON requests to one platform API. */
export class HttpClient {
  private readonly client: typeof wreck.default;

  constructor(private readonly endpoint: Endpoint) {
    const agent = new http.Agent({keepAlive: true, maxSockets: 64});
    this.client = wreck.default.defaults({
      agent,
      ...(endpoint.key
        ? {headers: {authorization: `Bearer ${endpoint.key}`}}
        : {}),
    });
  }

  /** Sends one request; `extraTimeoutMs` extends the timeout for a watch. */
  async send(
    method: string,
    path: string,
    options: {
      readonly body?: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      readonly extraTimeoutMs?: number;
    } = {},
  ): Promise<purify.Either<objectStore.StoreError, HttpResponse>> {
    const timeout =
      (this.endpoint.timeoutMs ?? DEFAULT_TIMEOUT_MS) +
      (options.extraTimeoutMs ?? 0);
    try {
      const sending = this.client.request(method, this.endpoint.url + path, {
        headers: {
          'content-type': 'application/json',
          ...options.headers,
        },
        ...(options.body === undefined
          ? {}
          : {payload: JSON.stringify(options.body)}),
      });
      boundAnswer.boundAnswer(sending.req);
      const {req: request} = sending;
      const response = await boundWait.boundWait(request, sending, timeout);
      if (!decisions.isFinalHead(response)) {
        response.destroy();
        const message = `expected a final answer, got status ${response.statusCode}`;
        return purify.Left({code: 'unknown', message});
      }
      const reading: Promise<unknown> = wreck.default.read(response, {
        json: true,
        maxBytes: MAX_RESPONSE_BYTES,
      });
      const body = await boundWait.boundWait(request, reading, timeout);
      return purify.Right({status: response.statusCode ?? 0, body});
    } catch (failure) {
      return purify.Left(toStoreError(failure));
    }
  }
}
