/** Tells a connection that was reset from one that was closed. */
import type * as net from 'node:net';

/**
 * Watches a connection until its end; the function that is returned says
 * whether it was reset.
 *
 * Guards against a reset that arrives with the last bytes of an answer: the
 * event loop reports a reset and a close alike, as bytes and a clean end, so an
 * answer without a length looks complete. After a reset the socket has no
 * remote address, after a close it still has. The socket caches the address, so
 * it must not be read earlier.
 */
export const watchForReset = (socket: net.Socket): (() => boolean) => {
  let wasReset = false;
  socket.prependOnceListener('end', () => {
    wasReset = socket.remoteAddress === undefined;
  });
  return () => wasReset;
};
