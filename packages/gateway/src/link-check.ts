/** Checks the link to one upstream over a new connection. */
import * as http from 'node:http';
import type * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';

/** Resolves to whether an upstream answers a new connection. */
export type CheckLink = (
  upstream: routing.Upstream,
  service: routing.Service,
) => Promise<decisions.LinkResult>;

/** Timeout of a check, in milliseconds: many round trips between zones. */
const CHECK_TIMEOUT_MS = 300;

/**
 * Creates a check that asks for the upstream's health. Any answer shows that the link works, also a
 * refusal. A connection alone would not: where something accepts connections on
 * the way, they hang.
 *
 * @param localAddress IP address from which connections are opened.
 */
export const createCheckLink =
  (localAddress?: string): CheckLink =>
  ({address}, {healthPath}) =>
    new Promise(resolve => {
      let isConnected = false;
      const request = http.request({
        ...address,
        path: healthPath,
        agent: false,
        ...(localAddress === undefined ? {} : {localAddress}),
        headers: {Connection: 'close'},
      });
      const finish = (result: decisions.LinkResult) => {
        clearTimeout(timer);
        request.destroy();
        resolve(result);
      };
      const timer = setTimeout(() => {
        finish(isConnected ? 'silent' : 'failed');
      }, CHECK_TIMEOUT_MS);
      request.once('socket', socket => {
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      request.once('response', () => {
        finish('answered');
      });
      request.on('error', () => {
        finish('failed');
      });
      request.end();
    });
