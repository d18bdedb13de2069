/**
 * Callers that use each connection until the other side closes it or its
 * process is gone, and go to another instance then.
 */
import * as net from 'node:net';
import type * as processLife from '../process-life.js';
import type * as requestRecord from './request-record.js';
import * as request from './send-request.js';

/** An instance that callers can reach. */
export interface CalledInstance {
  /** Address for callers, as IP:PORT. */
  readonly address: string;
  /** The process that runs; undefined if none does, or its address is taken. */
  readonly findLife: () => processLife.ProcessLife | undefined;
}

/** Options of the callers. */
export interface WorkCallersOptions {
  readonly instances: readonly CalledInstance[];
  readonly callers: number;
  readonly key: string;
  readonly random: () => number;
}

const KINDS: readonly requestRecord.WorkKind[] = [
  'read',
  'read',
  'book',
  'stream',
];

/** Pauses between the requests of a caller, by caller, in milliseconds. */
const PAUSES_MS = [0, 20, 100, 300];

/** Time until an instance that can't be reached is tried again, in ms. */
const RETRY_MS = 50;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const connect = (address: string): Promise<net.Socket | undefined> =>
  new Promise(resolve => {
    const [host = '', port = ''] = address.split(':');
    const socket = net.connect(Number(port), host);
    // Whoever uses the connection sees its close.
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      resolve(socket);
    });
    socket.once('close', () => {
      resolve(undefined);
    });
  });

/** A load that runs until `stop`. */
export class WorkCallers {
  readonly records: requestRecord.RequestRecord[] = [];
  private isStopped = false;
  private lastId = 0;
  private readonly loops: Promise<void>[] = [];

  constructor(private readonly options: WorkCallersOptions) {}

  start(): void {
    for (let i = 0; i < this.options.callers; i++) {
      this.loops.push(this.runCaller(i));
    }
  }

  /** Stops when the requests in progress have ended. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  /** Sends `count` large bodies to one instance at once. */
  async sendLarge(instance: CalledInstance, count: number): Promise<void> {
    const sendOne = async () => {
      const found = await this.open(instance);
      if (found) {
        this.records.push(await this.send(found, 'large'));
        found.socket.destroy();
      }
    };
    const sent = Promise.all(Array.from({length: count}, sendOne));
    this.loops.push(sent.then(() => undefined));
    await sent;
  }

  private async runCaller(index: number): Promise<void> {
    const pauseMs = PAUSES_MS[index % PAUSES_MS.length] ?? 0;
    // The others go on until the other side closes.
    const obeysClose = Math.floor(index / PAUSES_MS.length) % 2 === 0;
    let next = index;
    while (!this.isStopped) {
      const {instances} = this.options;
      const instance = instances[next++ % instances.length];
      const found = instance && (await this.open(instance));
      if (!found) {
        await sleep(RETRY_MS);
        continue;
      }
      await this.use(found, pauseMs, obeysClose);
      found.socket.destroy();
    }
  }

  private async open(
    instance: CalledInstance,
  ): Promise<Pick<request.RequestOptions, 'socket' | 'life'> | undefined> {
    const life = instance.findLife();
    const socket = life && (await connect(instance.address));
    if (!socket || instance.findLife() !== life) {
      socket?.destroy();
      return undefined;
    }
    return {socket, life};
  }

  private async use(
    found: Pick<request.RequestOptions, 'socket' | 'life'>,
    pauseMs: number,
    obeysClose: boolean,
  ): Promise<void> {
    const {socket} = found;
    while (!this.isStopped && socket.writable && !socket.readableEnded) {
      const kind = KINDS[Math.floor(this.options.random() * KINDS.length)];
      const record = await this.send(found, kind ?? 'read');
      this.records.push(record);
      const says = record.answer?.headers['connection']?.toLowerCase();
      if (record.outcome !== 'whole' || (obeysClose && says === 'close')) {
        return;
      }
      await sleep(pauseMs);
    }
  }

  private send(
    found: Pick<request.RequestOptions, 'socket' | 'life'>,
    kind: requestRecord.WorkKind,
  ): Promise<requestRecord.RequestRecord> {
    const {key} = this.options;
    const id = `w-${++this.lastId}`;
    return request.sendRequest({...found, id, kind, key});
  }
}
