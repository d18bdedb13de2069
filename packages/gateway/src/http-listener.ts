/** Starts and stops servers of `node:http`. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as configuration from '@amaranthknot/configuration';

/** Starts to listen; rejects if the address is not available. */
export const listen = (
  server: http.Server,
  {host, port}: configuration.Address,
): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port}, () => {
      server.off('error', reject);
      resolve();
    });
  });

/**
 * Takes over the address of `opened`, a server that listens and has accepted no
 * connection yet. Connections that wait there are not refused.
 */
export const takeOver = (
  server: http.Server,
  opened: net.Server,
): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(opened, () => {
      server.off('error', reject);
      resolve();
    });
  });

/**
 * Stops listening and closes idle connections; resolves when all are closed.
 * Connections still in use after `timeoutMs` are cut.
 */
export const stopListening = async (
  server: http.Server,
  timeoutMs: number,
): Promise<void> => {
  const closed = new Promise<void>(resolve => {
    server.close(() => {
      resolve();
    });
  });
  const cutTimer = setTimeout(() => {
    server.closeAllConnections();
  }, timeoutMs);
  await closed;
  clearTimeout(cutTimer);
};
