/** Starts and stops servers of `node:http`. */
import type * as http from 'node:http';
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
