/** Sends messages between instances as HTTP requests. */
import * as http from 'node:http';
import * as zlib from 'node:zlib';
import * as ports from '@amaranthknot/ports';
import * as wreck from '@hapi/wreck';
import * as purify from 'purify-ts';
import type * as peerTransport from './peer-transport.js';

/** Path at which an instance receives messages of its peers. */
export const INNER_PATH = '/inner/rpc';

/** Largest answer accepted; a whole configuration is well below it. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Idle time after which a connection is closed, in milliseconds. Peers are
 * drawn at random, so at 1,000 instances a longer time would keep up to a
 * thousand sockets open. It is below the 5 s after which Node.js servers close
 * an idle connection: a request sent on a connection that is being closed would
 * be lost.
 */
const IDLE_TIMEOUT_MS = 4_000;

/**
 * Size from which a message is compressed, in bytes. What instances report of
 * each other and of a rollout repeats the same names, and compresses to a
 * sixth.
 */
const COMPRESSION_THRESHOLD_BYTES = 1_024;

/** Codes of failures to connect: no byte of the request was sent. */
const CONNECT_ERRORS: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
];

const toPeerError = (error: unknown): peerTransport.PeerError => {
  const {message, code = ''} = error as NodeJS.ErrnoException;
  if (ports.isEndlessAnswer(error)) {
    return {code: 'invalid', message};
  }
  const isConnectError = CONNECT_ERRORS.includes(code);
  return {code: isConnectError ? 'not_sent' : 'unknown', message};
};

/** Options of the transport. */
export interface HttpTransportOptions {
  /** Key shared by all instances of an environment; absent if there is none. */
  readonly innerKey?: string;
}

/** A transport that keeps connections open. */
export interface HttpTransport {
  readonly send: peerTransport.PeerTransport;
  /** Closes all connections. */
  close(): void;
}

/** Creates a transport that posts to `http://ADDRESS/inner/rpc`. */
export const createHttpTransport = (
  options: HttpTransportOptions,
): HttpTransport => {
  const agent = new http.Agent({keepAlive: true, timeout: IDLE_TIMEOUT_MS});
  const client = wreck.default.defaults({
    agent,
    headers: {
      ...(options.innerKey === undefined
        ? {}
        : {authorization: `Bearer ${options.innerKey}`}),
      'content-type': 'application/json',
      'accept-encoding': 'gzip',
    },
  });
  const post = async (
    address: string,
    payload: string,
    timeout: number,
  ): Promise<purify.Either<peerTransport.PeerError, string>> => {
    const isCompressed = payload.length >= COMPRESSION_THRESHOLD_BYTES;
    const sending = client.request(
      'POST',
      `http://${address}${INNER_PATH}`,
      isCompressed
        ? {
            payload: zlib.gzipSync(payload, {
              level: zlib.constants.Z_BEST_SPEED,
            }),
            headers: {'content-encoding': 'gzip'},
          }
        : {payload},
    );
    ports.boundAnswer(sending.req);
    const {req: request} = sending;
    const response = await ports.boundWait(request, sending, timeout);
    const reading = wreck.default.read(response, {
      maxBytes: MAX_ANSWER_BYTES,
      gunzip: true,
    });
    const body = await ports.boundWait(request, reading, timeout);
    if (response.statusCode !== 200) {
      return purify.Left({
        code: 'refused',
        message: `status ${response.statusCode}`,
      });
    }
    return purify.Right(String(body));
  };
  return {
    send: (address, requestText, timeoutMs) =>
      post(address, requestText, timeoutMs).catch((error: unknown) =>
        purify.Left(toPeerError(error)),
      ),
    close: () => agent.destroy(),
  };
};
