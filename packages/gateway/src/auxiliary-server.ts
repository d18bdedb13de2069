/**
 * Auxiliary HTTP servers: readiness, directory, peer messages and metrics.
 *
 * Uses `node:http` directly, with one path for each server: after a loss of
 * power hundreds of instances start at once and would all load a framework
 * first, whose overhead for a request exceeds the cost of reading most peer
 * messages.
 */
import * as http from 'node:http';
import * as zlib from 'node:zlib';
import * as protocol from '@amaranthknot/protocol';
import * as ports from '@amaranthknot/ports';
import type * as configuration from '@amaranthknot/configuration';
import * as arrivalWaits from './arrival-waits.js';
import type * as callerServer from './caller-server.js';
import * as httpListener from './http-listener.js';
import * as serverConnections from './server-connections.js';

/** Largest message of another instance, in bytes, compressed or not. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Smallest answer that is compressed, in bytes. */
const MIN_COMPRESSED_BYTES = 1_024;

/**
 * Largest head of a request, in bytes: that of a caller's request with what an
 * instance adds to forward it.
 */
const MAX_HEADER_BYTES = 81_920;

/** Path of the metrics endpoint. */
const METRICS_PATH = '/metrics';

const JSON_TYPE = 'application/json';

/** A caller's query for addresses to connect to. */
export interface DirectoryQuery {
  readonly zone: string | undefined;
  readonly region: string | undefined;
  /** Remote IP address of the caller. */
  readonly callerHost: string;
}

/** A server that can be started and stopped. */
export interface AuxiliaryServer {
  /** Rejects if the address is not available. */
  start(): Promise<void>;
  /** Stops listening, once the accept queue is empty or after `limitMs`. */
  stopListening(limitMs: number): Promise<void>;
  /**
   * Stops listening, if that was not done before, and closes the connections,
   * once they are idle; those still open after `timeoutMs`, by default at once,
   * are cut.
   */
  stop(timeoutMs?: number): Promise<void>;
}

interface Answer {
  readonly status: number;
  readonly type?: string;
  readonly body?: string;
}

interface Endpoint {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly answer: (
    request: http.IncomingMessage,
    url: URL,
  ) => Answer | Promise<Answer>;
}

const NOT_FOUND: Answer = {status: 404};

const FAILED: Answer = {status: 500};

/**
 * Called with an error in the handling of a request, which gets status 500, or
 * of a connection that can't be accepted.
 */
export type RequestErrorListener = (error: unknown) => void;

/** What handles the requests that other instances forward. */
export interface ForwardedHandling {
  readonly handle: callerServer.HandleRequest;
  /** The event loop that reads their connections. */
  readonly loop: arrivalWaits.ReadingLoop;
}

/**
 * Creates a server for other instances. `handle` answers their messages,
 * `forwarded` the requests that they forward for their callers.
 */
export const createPeerServer = (
  address: configuration.Address,
  path: string,
  handle: (text: string) => Promise<string>,
  forwarded: ForwardedHandling,
  onError: RequestErrorListener,
): AuxiliaryServer =>
  createServer(
    address,
    {
      method: 'POST',
      path,
      answer: async request => {
        const text = await readText(request);
        return text === undefined
          ? {status: 400}
          : {status: 200, type: JSON_TYPE, body: await handle(text)};
      },
    },
    onError,
    forwarded,
  );

/** Creates a server that answers whether this instance accepts requests. */
export const createReadinessServer = (
  address: configuration.Address,
  path: string,
  isReady: () => boolean,
  onError: RequestErrorListener,
): AuxiliaryServer =>
  createServer(
    address,
    {
      method: 'GET',
      path,
      answer: () => ({status: isReady() ? 200 : 503}),
    },
    onError,
  );

/**
 * Creates a server that answers where callers may connect.
 *
 * @param answer returns undefined if no addresses are known yet.
 */
export const createDirectoryServer = (
  address: configuration.Address,
  path: string,
  answer: (query: DirectoryQuery) => unknown,
  onError: RequestErrorListener,
): AuxiliaryServer =>
  createServer(
    address,
    {
      method: 'GET',
      path,
      answer: ({socket}, {searchParams}) => {
        const found = answer({
          zone: searchParams.get('zone') ?? undefined,
          region: searchParams.get('region') ?? undefined,
          callerHost: socket.remoteAddress ?? '',
        });
        return found === undefined
          ? {status: 503}
          : {status: 200, type: JSON_TYPE, body: JSON.stringify(found)};
      },
    },
    onError,
  );

/** Creates a server that returns metrics as text. */
export const createMetricsServer = (
  address: configuration.Address,
  format: () => Promise<string>,
  onError: RequestErrorListener,
): AuxiliaryServer =>
  createServer(
    address,
    {
      method: 'GET',
      path: METRICS_PATH,
      answer: async () => ({
        status: 200,
        type: 'text/plain; charset=utf-8',
        body: await format(),
      }),
    },
    onError,
  );

const FORWARDED_NAME = protocol.FORWARD_HEADERS.request.toLowerCase();

const createServer = (
  address: configuration.Address,
  endpoint: Endpoint,
  onError: RequestErrorListener,
  forwarded?: ForwardedHandling,
): AuxiliaryServer => {
  const waits = forwarded && new arrivalWaits.ArrivalWaits(forwarded.loop);
  const connections = new serverConnections.ServerConnections();
  let isStopping = false;
  const options = {maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0};
  const server = http.createServer(options, (request, response) => {
    ports.gatherRequest(request);
    if (!connections.begin(request, response)) {
      return;
    }
    if (waits && FORWARDED_NAME in request.headers) {
      const waitedMs = waits.findWaitMs(request.socket);
      void forwarded.handle(request, response, waitedMs);
      return;
    }
    const answering = findAnswer(endpoint, request).catch((error: unknown) => {
      onError(error);
      return FAILED;
    });
    void answering.then(answer => {
      send(request, response, answer, isStopping);
    });
  });
  connections.watch(server);
  httpListener.surviveErrors(server, onError);
  waits?.watch(server);
  return {
    start: () => httpListener.listen(server, address),
    stopListening: limitMs => httpListener.closeListener(server, limitMs),
    stop: async (timeoutMs = 0) => {
      isStopping = true;
      await httpListener.closeListener(server, 0);
      await httpListener.endConnections(server, connections, timeoutMs);
    },
  };
};

const findAnswer = async (
  {method, path, answer}: Endpoint,
  request: http.IncomingMessage,
): Promise<Answer> => {
  const target = `http://auxiliary${request.url ?? '/'}`;
  if (request.method !== method || !URL.canParse(target)) {
    return NOT_FOUND;
  }
  const url = new URL(target);
  return url.pathname === path ? answer(request, url) : NOT_FOUND;
};

const send = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  {status, type, body = ''}: Answer,
  closesConnection: boolean,
): void => {
  const acceptsGzip = /\bgzip\b/.test(request.headers['accept-encoding'] ?? '');
  const isCompressed = acceptsGzip && body.length >= MIN_COMPRESSED_BYTES;
  const bytes = isCompressed
    ? zlib.gzipSync(body, {level: zlib.constants.Z_BEST_SPEED})
    : Buffer.from(body);
  response.writeHead(status, {
    'Content-Length': bytes.length,
    ...(type === undefined ? {} : {'Content-Type': type}),
    ...(isCompressed ? {'Content-Encoding': 'gzip'} : {}),
    ...(closesConnection ? {Connection: 'close'} : {}),
  });
  response.end(bytes);
};

/** A message's text; undefined if it is cut off, too long or malformed. */
const readText = async (
  request: http.IncomingMessage,
): Promise<string | undefined> => {
  const bytes = await readBytes(request);
  if (!bytes || request.headers['content-encoding'] !== 'gzip') {
    return bytes?.toString();
  }
  try {
    const options = {maxOutputLength: MAX_MESSAGE_BYTES};
    return zlib.gunzipSync(bytes, options).toString();
  } catch {
    // The sender gets status 400.
    return undefined;
  }
};

const readBytes = (
  request: http.IncomingMessage,
): Promise<Buffer | undefined> =>
  new Promise(resolve => {
    const bytes = new ports.ByteBlocks();
    let isTooLong = false;
    request.on('data', (chunk: Buffer) => {
      isTooLong ||= bytes.length + chunk.length > MAX_MESSAGE_BYTES;
      if (isTooLong) {
        // The rest is discarded: unread, it would reset the answer away.
        bytes.clear();
        resolve(undefined);
        return;
      }
      bytes.add(chunk);
    });
    request.once('end', () => {
      resolve(bytes.concat());
    });
    request.once('close', () => {
      resolve(undefined);
    });
    request.once('error', () => {
      resolve(undefined);
    });
  });
