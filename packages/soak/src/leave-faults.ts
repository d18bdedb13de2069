/**
 * Pauses instances while callers write requests and leave: when an instance goes
 * on, requests and the ends of their connections lie unread side by side.
 */
import * as net from 'node:net';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import type * as checkLeft from './check-left.js';
import type * as gatewayProcess from './gateway-process.js';

/** An instance that can be paused. */
export interface PausableInstance {
  readonly process: Pick<gatewayProcess.GatewayProcess, 'signal'>;
  /** Address for callers. */
  readonly address: string;
}

/** What these faults need. */
export interface LeaveFaultsOptions {
  readonly clock: ports.Clock;
  /** An API key that is in force. */
  readonly findKey: () => string;
}

/** Callers in one pause, half of them on connections opened before. */
const CALLERS = 12;

/** Time that each of them waits, in milliseconds. */
const CALLER_TIMEOUT_MS = 400;

/** Time in which an instance accepts connections before a pause, in ms. */
const ACCEPT_MS = 100;

const PATHS: readonly string[] = ['/read/1', '/book/1', '/stream/1'];

/** Injects these faults, and records who left. */
export class LeaveFaults {
  readonly left: checkLeft.LeftCaller[] = [];
  private lastId = 0;

  constructor(private readonly options: LeaveFaultsOptions) {}

  /** Pauses an instance for `forMs`, in which callers write and leave. */
  async pause(
    {process, address}: PausableInstance,
    forMs: number,
  ): Promise<void> {
    const {clock} = this.options;
    const kept = Array.from({length: CALLERS / 2}, () => connect(address));
    await clock.sleep(ACCEPT_MS);
    process.signal('SIGSTOP');
    const added = Array.from({length: CALLERS / 2}, () => connect(address));
    const sockets = [...kept, ...added];
    const ids = sockets.map(socket => this.write(socket));
    await clock.sleep(CALLER_TIMEOUT_MS);
    sockets.forEach(socket => socket.end());
    const leftAtMs = clock.now();
    this.left.push(...ids.map(id => ({id, leftAtMs})));
    await clock.sleep(Math.max(0, forMs - CALLER_TIMEOUT_MS));
    process.signal('SIGCONT');
    await clock.sleep(CALLER_TIMEOUT_MS);
    sockets.forEach(socket => socket.destroy());
  }

  /** Writes a request; returns its id. */
  private write(socket: net.Socket): string {
    const number = ++this.lastId;
    const id = `left-${number}`;
    const path = PATHS[number % PATHS.length] ?? '/read/1';
    const {requestId, timeLeft, apiKey} = platform.HEADER_NAMES;
    socket.write(
      [
        `POST ${path} HTTP/1.1`,
        'Host: svc.example',
        `${requestId}: ${id}`,
        `${timeLeft}: ${CALLER_TIMEOUT_MS}`,
        `${apiKey}: ${this.options.findKey()}`,
        'Content-Length: 0',
        '\r\n',
      ].join('\r\n'),
    );
    return id;
  }
}

/** Opens a connection; an instance that is down refuses it. */
const connect = (address: string): net.Socket => {
  const [host = '', port = ''] = address.split(':');
  const socket = net.connect(Number(port), host);
  socket.on('error', () => undefined);
  socket.resume();
  return socket;
};
