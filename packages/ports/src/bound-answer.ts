/**
 * Ends the exchange with a server that sends bytes without end which are no
 * answer: interim heads, or the digits of a chunk's size.
 *
 * Load: one faulty server among several, called by all requests. Harm prevented:
 * each request that meets it reads such bytes until its deadline, at the cost of
 * the processor time of all others. The HTTP parser bounds a single head, chunk
 * extensions and trailers, but neither of these.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as gatherBody from './gather-body.js';

/**
 * Bytes of an answer that need not be part of its body: several heads of the
 * largest size that the parser takes.
 */
const MAX_OVERHEAD_BYTES = 64 * 1024;

/**
 * Further bytes that are allowed for each byte of the body. A chunk of one byte
 * takes six.
 */
const OVERHEAD_FACTOR = 16;

/** Code of the error with which such an exchange ends. */
export const ENDLESS_ANSWER = 'ENDLESS_ANSWER';

/** The error with which an exchange ends whose answer has no end. */
export class EndlessAnswer extends Error {
  readonly code = ENDLESS_ANSWER;

  constructor(bytes: number, bodyBytes: number) {
    super(
      `the answer of the server has no end: expected at most ${MAX_OVERHEAD_BYTES} bytes beside its body, got ${bytes} bytes of which ${bodyBytes} are body`,
    );
  }
}

/** Whether a request failed because its answer had no end. */
export const isEndlessAnswer = (error: unknown): boolean =>
  (error as {readonly code?: unknown}).code === ENDLESS_ANSWER;

/**
 * Destroys `request` with an `EndlessAnswer` when too many of the bytes that
 * arrive are no part of the answer's body, and gathers and paces the body. Call
 * it before the request is sent.
 */
export const boundAnswer = (request: http.ClientRequest): void => {
  let bytes = 0;
  let bodyBytes = 0;
  const count = (chunk: Buffer): void => {
    bytes += chunk.length;
    if (bytes > MAX_OVERHEAD_BYTES + OVERHEAD_FACTOR * bodyBytes) {
      request.destroy(new EndlessAnswer(bytes, bodyBytes));
    }
  };
  request.once('response', response => {
    gatherBody.gatherAnswer(response);
    countBody(response, length => {
      bodyBytes += length;
    });
  });
  request.once('socket', (socket: net.Socket) => {
    // The parser's listener was added before, so the body is counted first.
    socket.on('data', count);
    request.once('close', () => {
      socket.off('data', count);
    });
  });
};

/**
 * Reports the bytes that the parser adds to a body. A listener for its data would
 * start to read it.
 */
const countBody = (
  response: http.IncomingMessage,
  onBytes: (length: number) => void,
): void => {
  const push = response.push.bind(response);
  response.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
    onBytes(chunk?.length ?? 0);
    return push(chunk, encoding);
  };
};
