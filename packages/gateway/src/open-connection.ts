/** Opens the connection of a request before the request is written. */
import type * as net from 'node:net';
import * as ports from '@amaranthknot/ports';
import type * as connectionPool from './connection-pool.js';
import type * as upstreamCall from './upstream-call.js';

/** What a connection is opened for. */
export type ConnectionRequest = Pick<
  upstreamCall.UpstreamRequest,
  'upstream' | 'connectTimeoutMs'
>;

/** Ignores an error: the socket is checked before it is used. */
const ignoreError = (): void => undefined;

/**
 * Opens a connection; resolves to undefined if it isn't established within its
 * timeout, or `signal` aborts before. A request that is written to a connection
 * before it is established leaves whenever it is.
 */
export const openConnection = (
  pool: connectionPool.ConnectionPool,
  {upstream, connectTimeoutMs}: ConnectionRequest,
  signal: AbortSignal,
): Promise<net.Socket | undefined> =>
  new Promise(resolve => {
    const socket = pool.connect(upstream);
    socket.on('error', ignoreError);
    const finish = (opened: net.Socket | undefined) => {
      cancelTimeout();
      signal.removeEventListener('abort', giveUp);
      socket.off('connect', succeed);
      socket.off('close', giveUp);
      resolve(opened);
    };
    const succeed = () => {
      finish(socket);
    };
    const giveUp = () => {
      socket.destroy();
      finish(undefined);
    };
    const cancelTimeout = ports.startTimeout(giveUp, connectTimeoutMs);
    signal.addEventListener('abort', giveUp);
    socket.once('connect', succeed);
    socket.once('close', giveUp);
  });
