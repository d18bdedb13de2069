/**
 * A process with an upstream and with callers that leave at their deadline, for
 * tests in which the event loop of the instance is held. Prints the upstream's
 * address; then sends the requests that each line of its input asks for, and
 * prints for each request that arrived how long its caller had been gone.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as readline from 'node:readline';
import * as fixture from './gateway-fixture.js';

/** What a line of the input asks for. */
export interface Burst {
  /** Callers, each of which sends one request. */
  readonly callers: number;
  /** Port that the callers connect to. */
  readonly port: number;
  /** Time that each caller waits, in milliseconds. */
  readonly waitMs: number;
  /** Time after which the result is printed, in milliseconds. */
  readonly resultAfterMs: number;
}

/** Result of a burst. */
export interface BurstResult {
  readonly arrived: number;
  /**
   * How long the callers of requests that arrived after their end had been
   * gone, in milliseconds.
   */
  readonly goneForMs: readonly number[];
}

const leftAtMs = new Map<string, number>();
const arrivedAtMs = new Map<string, number>();

const upstream = http.createServer((request, response) => {
  const id = String(request.headers['x-attempt-id']);
  arrivedAtMs.set(id, performance.now());
  response.writeHead(200, {'X-Attempt-Id': id});
  response.end('answer');
});

const startCaller = (id: string, {port, waitMs}: Burst): void => {
  const socket = net.connect({host: '127.0.0.1', port});
  socket.on('error', () => undefined);
  socket.once('data', () => socket.destroy());
  socket.once('connect', () => {
    socket.write(
      [
        `GET ${fixture.PATHS.read} HTTP/1.1`,
        `Host: ${fixture.HOST}`,
        `X-Attempt-Id: ${id}`,
        `X-Remaining-Milliseconds: ${waitMs}`,
        `Api-Key: ${fixture.KEY}`,
        '\r\n',
      ].join('\r\n'),
    );
  });
  setTimeout(() => {
    leftAtMs.set(id, performance.now());
    socket.destroy();
  }, waitMs);
};

const findResult = (): BurstResult => ({
  arrived: arrivedAtMs.size,
  goneForMs: [...arrivedAtMs].flatMap(([id, atMs]) => {
    const goneForMs = atMs - (leftAtMs.get(id) ?? Infinity);
    return goneForMs > 0 ? [Math.round(goneForMs)] : [];
  }),
});

upstream.listen(0, '127.0.0.1', () => {
  const {port} = upstream.address() as net.AddressInfo;
  process.stdout.write(`127.0.0.1:${port}\n`);
});

readline.createInterface({input: process.stdin}).on('line', line => {
  const burst = JSON.parse(line) as Burst;
  for (let i = 0; i < burst.callers; i++) {
    startCaller(`burst-${i}`, burst);
  }
  setTimeout(() => {
    process.stdout.write(`${JSON.stringify(findResult())}\n`);
  }, burst.resultAfterMs);
});
