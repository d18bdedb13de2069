/** Listens for callers. */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as configuration from '@amaranthknot/configuration';
import type * as routing from '@amaranthknot/routing';
import * as httpListener from './http-listener.js';

/** Handles one request. */
export type HandleRequest = (
  message: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** Largest head of a request before any configuration is known, in bytes. */
const INITIAL_MAX_HEADER_BYTES = 65_536;

/** How often the server looks for callers that are too slow, in ms. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/**
 * Time by which this server waits longer for the next request on a connection
 * than the configuration says, in ms: a caller that reuses its connection at
 * the last moment must not meet its close.
 */
const IDLE_MARGIN_MS = 1_000;

const MALFORMED = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

/**
 * Hands every request over as it came: paths and headers are passed on byte
 * for byte, and answers begin while the upstream's still arrives. It is the
 * runtime's own server: nothing of a framework's would be used here, and
 * loading one takes two fifths of the start of an instance whose callers wait.
 */
export class CallerServer {
  private readonly listener: http.Server;

  constructor(
    private readonly address: configuration.Address,
    handle: HandleRequest,
  ) {
    this.listener = http.createServer(
      {
        maxHeaderSize: INITIAL_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        keepAliveTimeout: 60_000,
      },
      (message, response) => void handle(message, response),
    );
    this.listener.on('clientError', (_error, socket) => {
      refuseMalformed(socket as net.Socket);
    });
  }

  /** Takes over how long callers may be slow or idle. */
  applyLimits(limits: routing.CallerLimits): void {
    this.listener.headersTimeout = limits.headerTimeoutMs;
    this.listener.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Listens; rejects where the address can't be had. */
  start(): Promise<void> {
    return httpListener.listen(this.listener, this.address);
  }

  /**
   * Stops listening and closes what is idle; what is still in progress after
   * `timeoutMs` is cut.
   */
  stop(timeoutMs: number): Promise<void> {
    return httpListener.stopListening(this.listener, timeoutMs);
  }
}

/**
 * Answers bytes that are no request. On a connection with a request still in
 * progress such an answer would be taken for that request's, so it is closed
 * without one.
 */
const refuseMalformed = (socket: net.Socket): void => {
  const {_httpMessage: inProgress} = socket as unknown as {
    _httpMessage?: unknown;
  };
  if (inProgress || !socket.writable) {
    socket.destroy();
    return;
  }
  socket.end(MALFORMED);
};
