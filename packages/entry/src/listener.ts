/**
 * The HTTP listener of the server: limits the size and duration of a request
 * before a handler runs, and answers parser errors in the API's error format.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as ports from '@amaranthknot/ports';
import * as apiError from './api-error.js';

/** Limits on the head of a request. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  /** Timeout of the head, in milliseconds. */
  readonly headerTimeoutMs: number;
}

/** Time that a slow caller may take to send a body, in milliseconds. */
export const BODY_TIMEOUT_MS = 10_000;

/** Maximum interval of checks for timed-out requests, in milliseconds. */
const MAX_CHECK_INTERVAL_MS = 1_000;

interface ParserError {
  readonly code?: string;
}

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

const MESSAGES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: 'the head is too large',
  ERR_HTTP_REQUEST_TIMEOUT: 'the request took too long to arrive',
};

const formatRefusal = (code: string, requestId: string): string => {
  const error: apiError.ApiError = {
    code: 'invalid_request',
    ran: 'not_run',
    message: MESSAGES[code] ?? 'this is no HTTP request',
  };
  const body = JSON.stringify(apiError.toErrorBody(error, requestId));
  const head = [
    `HTTP/1.1 ${STATUS_LINES[code] ?? '400 Bad Request'}`,
    'content-type: application/json; charset=utf-8',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-id: ${requestId}`,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
};

/** An HTTP server that answers requests which the parser refuses. */
export class Listener {
  readonly server: http.Server;
  private readonly activeRequests = new WeakMap<
    net.Socket,
    http.IncomingMessage
  >();

  constructor(
    limits: ListenerLimits,
    private readonly newId: () => string,
  ) {
    const {maxHeaderBytes, headerTimeoutMs} = limits;
    this.server = http.createServer({
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headerTimeoutMs,
      requestTimeout: headerTimeoutMs + BODY_TIMEOUT_MS,
      connectionsCheckingInterval: Math.min(
        headerTimeoutMs,
        MAX_CHECK_INTERVAL_MS,
      ),
      // Otherwise Node.js refuses requests without `host` with an empty body.
      requireHostHeader: false,
    });
    this.server.on('request', (request, response) =>
      this.trackRequest(request, response),
    );
    this.server.on('checkExpectation', (request, response) =>
      this.server.emit('request', request, response),
    );
  }

  /**
   * Replaces the `clientError` handler; call it after hapi has added its own.
   */
  handleClientErrors(): void {
    this.server.removeAllListeners('clientError');
    this.server.on('clientError', (error: ParserError, socket) =>
      this.refuse(error.code ?? '', socket as net.Socket),
    );
  }

  private trackRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    ports.gatherRequest(request);
    const {socket} = request;
    this.activeRequests.set(socket, request);
    response.once('close', () => {
      if (this.activeRequests.get(socket) === request) {
        this.activeRequests.delete(socket);
      }
    });
  }

  /**
   * Refuses a malformed request. If an earlier, complete request on the same
   * connection may still be running, the connection is closed without an
   * answer: the caller would take the refusal, which says `not_run`, for the
   * answer to the earlier request.
   */
  private refuse(code: string, socket: net.Socket): void {
    const mayRun = this.activeRequests.get(socket)?.complete ?? false;
    if (mayRun || !socket.writable) {
      socket.destroy();
      return;
    }
    socket.end(formatRefusal(code, this.newId()));
  }
}
