/** Callers that write to a connection of their own. */
import * as net from 'node:net';
import type * as configuration from '@amaranthknot/configuration';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';

/** A connection on which a caller has sent nothing yet. */
export interface OpenConnection {
  readonly socket: net.Socket;
  /** Resolves to what came back, once the connection is closed. */
  readonly received: Promise<string>;
}

/** Opens a connection; rejects if it is refused. */
export const connect = ({
  host,
  port,
}: configuration.Address): Promise<OpenConnection> =>
  new Promise((resolve, reject) => {
    const socket = net.connect({host, port});
    socket.once('error', reject);
    const chunks: string[] = [];
    socket.on('data', chunk => chunks.push(chunk.toString()));
    const received = new Promise<string>(done => {
      socket.once('close', () => {
        done(chunks.join(''));
      });
    });
    socket.once('connect', () => {
      resolve({socket, received});
    });
  });

/** A request whose caller waits for `timeLeftMs` milliseconds. */
export const format = (id: string, path: string, timeLeftMs: number): string =>
  [
    `GET ${path} HTTP/1.1`,
    `Host: ${fixture.HOST}`,
    `X-Attempt-Id: ${id}`,
    `X-Remaining-Milliseconds: ${timeLeftMs}`,
    `Api-Key: ${fixture.KEY}`,
    '\r\n',
  ].join('\r\n');

/** A request for the fixture's idempotent route. */
export const formatRead = (id: string): string =>
  format(id, fixture.PATHS.read, 3_000);

/** Pause between two tries to connect, in milliseconds. */
const RETRY_MS = 5;

/** Opens a connection once the address accepts one. */
export const connectSoon = async (
  address: configuration.Address,
): Promise<OpenConnection> => {
  for (;;) {
    const connection = await connect(address).catch(() => undefined);
    if (connection) {
      return connection;
    }
    await ports.systemClock.sleep(RETRY_MS);
  }
};
