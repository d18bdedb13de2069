/** Checks the link to one upstream over a new connection. */
import * as http from 'node:http';
import type * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as headerNames from './header-names.js';

/** Resolves to whether an upstream answers a new connection. */
export type CheckLink = (
  upstream: routing.Upstream,
  service: routing.Service,
) => Promise<decisions.LinkResult>;

/** Timeout of a check, in milliseconds: many round trips between zones. */
const CHECK_TIMEOUT_MS = 300;

/** Options of a check. */
export interface CheckLinkOptions {
  /** IP address from which connections are opened. */
  readonly localAddress?: string | undefined;
  readonly names: headerNames.HeaderNames;
  /** Called when the upstream says how long it stays cold, in milliseconds. */
  readonly onColdFor: (upstream: routing.Upstream, coldForMs: number) => void;
}

/** How long an upstream says that it stays cold; undefined if it doesn't say. */
const parseColdFor = (
  {id}: routing.Upstream,
  {headers}: http.IncomingMessage,
  names: headerNames.HeaderNames,
): number | undefined => {
  const value = headers[names.coldFor.toLowerCase()];
  const coldForMs = Number(value);
  const isOfUpstream = headers[names.upstreamId.toLowerCase()] === id;
  return isOfUpstream && value !== undefined && coldForMs >= 0
    ? coldForMs
    : undefined;
};

/**
 * Creates a check that asks for the upstream's health. Any answer shows that the
 * link works, also a refusal. A connection alone would not: where something
 * accepts connections on the way, they hang.
 */
export const createCheckLink =
  ({localAddress, names, onColdFor}: CheckLinkOptions): CheckLink =>
  (upstream, {healthPath}) =>
    new Promise(resolve => {
      const {address} = upstream;
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
      request.once('response', response => {
        const coldForMs = parseColdFor(upstream, response, names);
        if (coldForMs !== undefined) {
          onColdFor(upstream, coldForMs);
        }
        finish('answered');
      });
      request.on('error', () => {
        finish('failed');
      });
      request.end();
    });
