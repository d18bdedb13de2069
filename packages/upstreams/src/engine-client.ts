/**
 * Client of a model engine: opens one streamed completion and yields its
 * chunks. It never retries; a failure states whether work may have begun.
 */
import * as http from 'node:http';
import * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import * as eventsourceParser from 'eventsource-parser';
import type * as answerAssembler from './answer-assembler.js';

/** Whether the upstream may have begun the work. */
export type ExecutionStatus = 'not_run' | 'unknown' | 'ran';

/** A call to an engine. */
export interface EngineCall {
  /** `ip:port`. */
  readonly address: string;
  readonly requestId: string;
  /** `model@version`. */
  readonly model: string;
  readonly messages: readonly unknown[];
  /** Tokens that the caller already has; 0 for a new answer. */
  readonly resumeFrom: number;
  readonly priority: string;
  readonly maxTokens?: number;
}

/** Why a stream ended before its last chunk. */
export type EngineFailureCode =
  | 'unreachable'
  | 'overloaded'
  | 'cold'
  | 'not_loaded'
  | 'engine_error'
  | 'broken_stream'
  | 'aborted';

/** A failed stream. */
export interface EngineFailure {
  readonly code: EngineFailureCode;
  readonly ran: ExecutionStatus;
  readonly message: string;
  /** Time for which the engine wants no requests, in milliseconds. */
  readonly backoffMs?: number | undefined;
}

/** An event of a stream: chunks, then at most one failure. */
export type EngineEvent =
  | {readonly kind: 'chunk'; readonly chunk: answerAssembler.Chunk}
  | {readonly kind: 'failed'; readonly failure: EngineFailure};

/** Opens a stream of chunks; failures are yielded as events. */
export type OpenEngineStream = (
  call: EngineCall,
  signal: AbortSignal,
) => AsyncIterable<EngineEvent>;

/** Silence after which a stream counts as broken, in milliseconds. */
export const DEFAULT_IDLE_TIMEOUT_MS = 10_000;

/** The fields of a chunk on the wire that are used. */
interface WireChunk {
  readonly id: string;
  readonly offset: number;
  readonly choices: readonly {
    readonly delta: {readonly content?: string};
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: {readonly completion_tokens: number};
  readonly confidence?: number;
}

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const isOptional = (value: unknown, type: 'string' | 'number'): boolean =>
  value === undefined || typeof value === type;

const isChoice = (choice: unknown): boolean =>
  isObject(choice) &&
  isObject(choice['delta']) &&
  isOptional(choice['delta']['content'], 'string') &&
  isOptional(choice['finish_reason'] ?? undefined, 'string');

const isUsage = (usage: unknown): boolean =>
  usage === undefined ||
  (isObject(usage) && typeof usage['completion_tokens'] === 'number');

/**
 * Hand-written, because the checks of a schema library took a tenth of the CPU
 * time of a streamed token, of which an instance relays thousands a second.
 */
const isWireChunk = (data: unknown): data is WireChunk =>
  isObject(data) &&
  typeof data['id'] === 'string' &&
  typeof data['offset'] === 'number' &&
  Array.isArray(data['choices']) &&
  data['choices'].every(isChoice) &&
  isUsage(data['usage']) &&
  isOptional(data['confidence'], 'number');

const parseChunk = (text: string): answerAssembler.Chunk | undefined => {
  const data: unknown = JSON.parse(text);
  if (!isWireChunk(data)) {
    return undefined;
  }
  const choice = data.choices[0];
  const reason = choice?.finish_reason;
  const chunk = {
    id: data.id,
    offset: data.offset,
    text: choice?.delta.content ?? '',
  };
  if (!reason) {
    return chunk;
  }
  const end = {
    finishReason: reason,
    completionTokens: data.usage?.completion_tokens ?? chunk.offset,
    confidence: data.confidence ?? 1,
  };
  return {...chunk, end};
};

const failed = (
  code: EngineFailureCode,
  ran: ExecutionStatus,
  message: string,
): EngineEvent => ({kind: 'failed', failure: {code, ran, message}});

const errorCodeOf = (error: unknown): string => {
  const failure = error as {
    code?: string;
    data?: {code?: string} | null;
    message?: string;
  };
  return failure.code ?? failure.data?.code ?? failure.message ?? '';
};

/** Connection errors that prove that no byte was sent. */
const NEVER_CONNECTED = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH/;

const describeBreak = (code: string, signal: AbortSignal): EngineEvent => {
  if (NEVER_CONNECTED.test(code)) {
    return failed('unreachable', 'not_run', code);
  }
  return failed(signal.aborted ? 'aborted' : 'broken_stream', 'unknown', code);
};

const refused = (
  code: EngineFailureCode,
  message: string,
  backoffMs: number | undefined,
): EngineEvent => ({
  kind: 'failed',
  failure: {code, ran: 'not_run', message, backoffMs},
});

const describeAnswer = ({
  statusCode: status = 0,
  headers,
}: http.IncomingMessage): EngineEvent => {
  const backoffMs = decisions.parseRetryAfterMs(headers['retry-after']);
  switch (status) {
    case 503:
      return refused('cold', 'the engine is in cold start', backoffMs);
    case 429:
      return refused('overloaded', 'the engine is at its limit', backoffMs);
    case 404:
      return failed('not_loaded', 'not_run', 'the engine lacks the version');
    default:
      return failed('engine_error', 'ran', `the engine answered ${status}`);
  }
};

/** Yields the chunks of an open response; a malformed one ends the stream. */
async function* readChunks(
  response: http.IncomingMessage,
): AsyncGenerator<EngineEvent> {
  let pending: string[] = [];
  const parser = eventsourceParser.createParser({
    onEvent: event => pending.push(event.data),
  });
  response.setEncoding('utf8');
  for await (const text of response as AsyncIterable<string>) {
    parser.feed(text);
    const events = pending;
    pending = [];
    for (const data of events) {
      if (data === '[DONE]') {
        continue;
      }
      const chunk = parseChunk(data);
      if (!chunk) {
        return;
      }
      yield {kind: 'chunk', chunk};
    }
  }
}

const openRequest = (
  agent: http.Agent,
  address: string,
  payload: string,
): http.ClientRequest => {
  const end = address.lastIndexOf(':');
  const request = http.request({
    agent,
    host: address.slice(0, end),
    port: address.slice(end + 1),
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(payload),
    },
  });
  ports.boundAnswer(request);
  request.end(payload);
  return request;
};

/**
 * Waits for the head of the response. The error listener stays attached: an
 * error after the head, when the connection breaks, would end the process.
 */
const readHead = (request: http.ClientRequest): Promise<http.IncomingMessage> =>
  new Promise((resolve, reject) => {
    request.on('error', reject);
    request.once('response', resolve);
  });

/** Creates a client with up to `maxSockets` kept connections to each engine. */
export const createEngineClient = (
  maxSockets = 256,
  idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS,
): OpenEngineStream => {
  const agent = new http.Agent({keepAlive: true, maxSockets});
  return async function* (call, signal) {
    if (signal.aborted) {
      yield failed('aborted', 'not_run', 'aborted before the call');
      return;
    }
    const payload = JSON.stringify({
      model: call.model,
      messages: call.messages,
      request_id: call.requestId,
      resume_from: call.resumeFrom,
      priority: call.priority,
      stream: true,
      ...(call.maxTokens === undefined ? {} : {max_tokens: call.maxTokens}),
    });
    const request = openRequest(agent, call.address, payload);
    const abort = () => request.destroy(new Error('aborted'));
    signal.addEventListener('abort', abort);
    request.setTimeout(idleTimeoutMs, () => request.destroy(new Error('idle')));
    try {
      const response = await readHead(request);
      if (response.statusCode !== 200) {
        response.resume();
        yield describeAnswer(response);
        return;
      }
      yield* readChunks(response);
      yield failed('broken_stream', 'ran', 'the stream ended early');
    } catch (error) {
      const code = errorCodeOf(error);
      yield describeBreak(code, signal);
    } finally {
      signal.removeEventListener('abort', abort);
      // Frees the engine's slot if the reader stops before the end.
      if (!request.closed && !request.destroyed) {
        closeUnlessDrained(request);
      }
    }
  };
};

/** Destroys a connection whose response was not read to its end. */
const closeUnlessDrained = (request: http.ClientRequest): void => {
  const response = (request as {res?: http.IncomingMessage}).res;
  if (!response?.complete) {
    request.destroy();
  }
};
