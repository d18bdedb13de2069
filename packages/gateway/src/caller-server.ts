/** HTTP server for callers. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as ports from '@amaranthknot/ports';
import type * as configuration from '@amaranthknot/configuration';
import type * as routing from '@amaranthknot/routing';
import * as arrivalWaits from './arrival-waits.js';
import * as httpListener from './http-listener.js';
import * as serverConnections from './server-connections.js';

/**
 * Handles one request.
 *
 * @param waitedMs longest time for which the request may have waited before it
 *     was read, in milliseconds.
 */
export type HandleRequest = (
  message: http.IncomingMessage,
  response: http.ServerResponse,
  waitedMs: number,
) => Promise<void>;

/** A server that listens for callers and has accepted no connection yet. */
export interface OpenedListener {
  readonly server: net.Server;
  /** When it began to listen, as `performance.now()`. */
  readonly openedAtMs: number;
}

/** Largest request head before a configuration is known, in bytes. */
const INITIAL_MAX_HEADER_BYTES = 65_536;

/** Interval of checks for callers that are too slow, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/**
 * Time added to the configured idle timeout of connections, in milliseconds, so
 * that a caller that reuses its connection at the last moment does not find it
 * closed.
 */
const IDLE_MARGIN_MS = 1_000;

const MALFORMED = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

/**
 * Hands each request over as it came: paths and headers are forwarded byte for
 * byte, and an answer begins while the upstream's still arrives. Uses
 * `node:http` directly: no feature of a framework would be used, and loading
 * one takes two fifths of an instance's start, during which callers wait.
 */
export class CallerServer {
  private readonly listener: http.Server;
  private readonly waits: arrivalWaits.ArrivalWaits;
  private readonly connections = new serverConnections.ServerConnections();

  /**
   * @param loop the event loop that reads the connections.
   * @param opened listens at `address`; by default the address is opened at the
   *     start.
   * @param onError called if connections can't be accepted.
   */
  constructor(
    private readonly address: configuration.Address,
    handle: HandleRequest,
    loop: arrivalWaits.ReadingLoop,
    private readonly opened?: OpenedListener,
    onError: (error: unknown) => void = () => undefined,
  ) {
    this.waits = new arrivalWaits.ArrivalWaits(loop);
    this.listener = http.createServer(
      {
        maxHeaderSize: INITIAL_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: 60_000,
      },
      (message, response) => {
        ports.gatherRequest(message);
        if (this.connections.begin(message, response)) {
          const waitedMs = this.waits.findWaitMs(message.socket);
          void handle(message, response, waitedMs);
        }
      },
    );
    this.connections.watch(this.listener);
    httpListener.surviveErrors(this.listener, onError);
    this.listener.on('clientError', (_error, socket) => {
      refuseMalformed(socket as net.Socket, this.connections);
    });
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Number of connections that a stop has cut. */
  get cutConnections(): number {
    return this.connections.cutCount;
  }

  /** Applies the configured timeouts for slow and idle callers. */
  applyLimits(limits: routing.CallerLimits): void {
    this.listener.headersTimeout = limits.headerTimeoutMs;
    this.listener.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /**
   * Starts to listen; rejects if the address is not available, and may be called
   * again then.
   */
  async start(): Promise<void> {
    const {opened} = this;
    if (opened) {
      this.waits.watch(this.listener, performance.now() - opened.openedAtMs);
      await httpListener.takeOver(this.listener, opened.server);
      return;
    }
    await httpListener.listen(this.listener, this.address);
    this.waits.watch(this.listener);
  }

  /** Stops listening, once the accept queue is empty or after `limitMs`. */
  stopListening(limitMs: number): Promise<void> {
    return httpListener.closeListener(this.listener, limitMs);
  }

  /**
   * Stops listening, if that was not done before, and closes the connections,
   * once they are idle; those still open after `timeoutMs` are cut.
   */
  async stop(timeoutMs: number): Promise<void> {
    await this.stopListening(0);
    await httpListener.endConnections(
      this.listener,
      this.connections,
      timeoutMs,
    );
  }
}

/**
 * Answers bytes that are not a valid request. A connection with a request still
 * in progress is closed instead: the answer would be taken for that request's.
 */
const refuseMalformed = (
  socket: net.Socket,
  connections: serverConnections.ServerConnections,
): void => {
  // What comes behind the last answer is discarded.
  if (connections.isEnding(socket)) {
    return;
  }
  const {_httpMessage: inProgress} = socket as unknown as {
    _httpMessage?: unknown;
  };
  if (inProgress || !socket.writable) {
    socket.destroy();
    return;
  }
  connections.end(socket, MALFORMED);
};
