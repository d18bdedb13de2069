/** Starts and stops servers of the runtime's own kind. */
import type * as http from 'node:http';
import type * as configuration from '@amaranthknot/configuration';

/** Listens; rejects where the address can't be had. */
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
 * Stops listening and closes what is idle; what is still in progress after
 * `timeoutMs` is cut.
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
  const cutting = setTimeout(() => {
    server.closeAllConnections();
  }, timeoutMs);
  await closed;
  clearTimeout(cutting);
};
