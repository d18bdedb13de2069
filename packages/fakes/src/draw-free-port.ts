/** Draws ports for servers that a test starts, stops and starts again. */
import * as net from 'node:net';

/**
 * Range of the ports. It is below the ephemeral ones: while a server is down,
 * an outgoing connection could otherwise take its port.
 */
const PORTS = {first: 15_000, last: 30_000};

/** Ports that this process has drawn; their servers may not listen yet. */
const drawnPorts = new Set<number>();

const isFree = async (port: number): Promise<boolean> => {
  const server = net.createServer();
  const isListening = await new Promise<boolean>(resolve => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(true);
    });
  });
  await new Promise(resolve => server.close(resolve));
  return isListening;
};

/**
 * Draws a port of 127.0.0.1 that is free, and that this process has not drawn
 * before. Not drawn from a seed, since processes that run beside each other
 * share the range.
 */
export const drawFreePort = async (): Promise<number> => {
  for (;;) {
    const span = PORTS.last - PORTS.first;
    const port = PORTS.first + Math.floor(Math.random() * span);
    if (drawnPorts.has(port)) {
      continue;
    }
    drawnPorts.add(port);
    if (await isFree(port)) {
      return port;
    }
  }
};
