/** Sends requests from concurrent callers and records what each one got. */
import * as http from 'node:http';
import * as platform from '@amaranthknot/platform';
import * as crashFaults from './crash-faults.js';
import type * as invariants from './invariants.js';

/** Options of the load generator. */
export interface LoadGeneratorOptions {
  /** Caller addresses of the instances, as `host:port`. */
  readonly addresses: readonly string[];
  readonly keys: readonly string[];
  readonly random: () => number;
  readonly now: () => number;
  /** Kinds of request; all by default. */
  readonly kinds?: readonly invariants.RequestKind[];
  /** Whether the next stream has the part that ends upstreams. */
  readonly drawIsFatal: () => boolean;
}

const KINDS: readonly invariants.RequestKind[] = [
  'read',
  'book',
  'stream',
  'once',
];

/** Time that a request is given, announced in its header, in milliseconds. */
const REQUEST_TIMEOUT_MS = 3_000;

/** Pause of a caller after each request, in milliseconds. */
const PAUSE_MS = 20;

/** Number of concurrent callers. */
const CONCURRENCY = 8;

const formatPromptHeaders = (
  id: string,
  isFatal: boolean,
): Readonly<Record<string, string>> => ({
  [platform.HEADER_NAMES.tokenCounts]: '170,30',
  [platform.HEADER_NAMES.promptParts]: crashFaults.formatPrompt(id, isFatal),
});

/** A load that runs until `stop`. */
export class LoadGenerator {
  /** Finished requests. */
  readonly records: invariants.CallerRecord[] = [];
  private isStopped = false;
  private lastId = 0;
  private readonly workers: Promise<void>[] = [];

  constructor(private readonly options: LoadGeneratorOptions) {}

  start(): void {
    for (let i = 0; i < CONCURRENCY; i++) {
      this.workers.push(this.runWorker());
    }
  }

  /** Stops when the requests in progress have ended. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.workers);
  }

  private async runWorker(): Promise<void> {
    // Connections stay open for as long as the instance's process lives.
    const agent = new http.Agent({keepAlive: true});
    while (!this.isStopped) {
      this.records.push(await this.send(agent));
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
    agent.destroy();
  }

  private draw<T>(values: readonly T[]): T {
    const {length} = values;
    return values[Math.floor(this.options.random() * length)] as T;
  }

  private send(agent: http.Agent): Promise<invariants.CallerRecord> {
    const {addresses, keys, kinds = KINDS, now} = this.options;
    const kind = this.draw(kinds);
    const key = this.draw(keys);
    const id = `r-${++this.lastId}`;
    const instance = this.draw(addresses);
    const [host = '', port = ''] = instance.split(':');
    const sentAtMs = now();
    const isStream = kind === 'stream' || kind === 'once';
    const isFatal = isStream && this.options.drawIsFatal();
    const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS + 500);
    return new Promise(resolve => {
      let answer: http.IncomingMessage | undefined;
      const chunks: Buffer[] = [];
      const finish = () => {
        resolve({
          id,
          kind,
          isFatal,
          key,
          instance,
          sentAtMs,
          endedAtMs: now(),
          status: answer?.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
          isComplete: answer?.complete ?? false,
          isSigned:
            answer?.headers[platform.HEADER_NAMES.receipt.toLowerCase()] !==
            undefined,
        });
      };
      const request = http.request({
        host,
        port,
        agent,
        signal,
        method: kind === 'read' ? 'GET' : 'POST',
        path: `/${kind}/1`,
        headers: {
          Host: 'svc.example',
          [platform.HEADER_NAMES.requestId]: id,
          [platform.HEADER_NAMES.timeLeft]: String(REQUEST_TIMEOUT_MS),
          [platform.HEADER_NAMES.apiKey]: key,
          'Content-Length': '0',
          ...(isStream ? formatPromptHeaders(id, isFatal) : {}),
        },
      });
      request.once('response', response => {
        answer = response;
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.once('close', finish);
      });
      request.on('error', () => {
        if (!answer) {
          finish();
        }
      });
      request.end();
    });
  }
}
