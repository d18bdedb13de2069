/** Starts and stops servers of `node:http`. */
import type * as http from 'node:http';
import * as net from 'node:net';
import type * as configuration from '@amaranthknot/configuration';
import type * as serverConnections from './server-connections.js';

/** Interval at which a stopping server looks for idle connections, in ms. */
const IDLE_CHECK_INTERVAL_MS = 10;

/**
 * Time for which a stopping server waits for the rest of a head of which a part
 * was read, in milliseconds.
 */
const HEAD_WAIT_MS = 500;

/** Shortest time between two calls for errors of one server, in ms. */
const ERROR_INTERVAL_MS = 1_000;

/**
 * Calls `onError` for errors of a server that listens, once a second at most.
 *
 * Guards against a connection that can't be accepted, as descriptors or memory
 * of the machine are used up: without a listener it would end the process. The
 * server goes on to listen.
 */
export const surviveErrors = (
  server: http.Server,
  onError: (error: unknown) => void,
): void => {
  let calledAtMs = -Infinity;
  server.on('error', error => {
    const nowMs = performance.now();
    if (server.listening && nowMs - calledAtMs >= ERROR_INTERVAL_MS) {
      calledAtMs = nowMs;
      onError(error);
    }
  });
};

/** Starts to listen; rejects if the address is not available. */
export const listen = (
  server: http.Server,
  {host, port}: configuration.Address,
): Promise<void> =>
  untilListening(server, () => {
    server.listen({host, port});
  });

/**
 * Takes over the address of `opened`, a server that listens and has accepted no
 * connection yet. Connections that wait there are not refused.
 */
export const takeOver = (
  server: http.Server,
  opened: net.Server,
): Promise<void> =>
  untilListening(server, () => {
    server.listen(opened);
  });

/** Leaves no listener behind, so that a server may try many times. */
const untilListening = (
  server: http.Server,
  start: () => void,
): Promise<void> =>
  new Promise((resolve, reject) => {
    const succeed = () => {
      server.off('error', fail);
      resolve();
    };
    const fail = (error: Error) => {
      server.off('listening', succeed);
      reject(error);
    };
    server.once('error', fail);
    server.once('listening', succeed);
    start();
  });

const nextTurn = (): Promise<void> =>
  new Promise(resolve => {
    setImmediate(resolve);
  });

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

/** Resolves after a turn in which the server accepted no connection. */
const whenQueueEmpty = async (
  server: http.Server,
  limitMs: number,
): Promise<void> => {
  const endMs = performance.now() + limitMs;
  let hasAccepted = true;
  const onAccept = () => {
    hasAccepted = true;
  };
  server.on('connection', onAccept);
  await nextTurn();
  while (hasAccepted && performance.now() < endMs) {
    hasAccepted = false;
    await nextTurn();
  }
  server.off('connection', onAccept);
};

/**
 * Stops listening, once the accept queue is empty or after `limitMs`: what lies
 * there when the listener closes is reset.
 */
export const closeListener = async (
  server: http.Server,
  limitMs: number,
): Promise<void> => {
  await whenQueueEmpty(server, limitMs);
  // `http.Server.close` would also reset idle connections.
  net.Server.prototype.close.call(server);
};

/**
 * Ends the connections of a server that does not listen any more, those with a
 * request in progress after its answer; resolves when all are closed. Those
 * still open after `timeoutMs` are cut.
 */
export const endConnections = async (
  server: http.Server,
  connections: serverConnections.ServerConnections,
  timeoutMs: number,
): Promise<void> => {
  const startedAtMs = performance.now();
  const endMs = startedAtMs + timeoutMs;
  while (connections.size > 0 && performance.now() < endMs) {
    await nextTurn();
    await nextTurn();
    connections.endIdle(performance.now() - startedAtMs < HEAD_WAIT_MS);
    await sleep(IDLE_CHECK_INTERVAL_MS);
  }
  connections.cut();
  while (connections.size > 0) {
    await nextTurn();
  }
  // Ends the checks of `node:http` for slow connections.
  server.close();
};
