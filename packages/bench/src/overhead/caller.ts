/**
 * HTTP caller that uses little CPU time, because the load of the overhead bench
 * runs in the same process as the instance that it measures.
 */
import * as http from 'node:http';

/** Address, headers and bodies of the requests. */
export interface CallerTarget {
  /** `ip:port`. */
  readonly address: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Creates the body of the request with the given number, from 0. */
  readonly createBody: (number: number) => string;
}

/** Measurements of one answer. */
export interface Reply {
  readonly status: number;
  readonly bytes: number;
  /** Number of events of a streamed answer, including its end. */
  readonly events: number;
  readonly latencyMs: number;
}

const EVENT_START = Buffer.from('data: ');

const countEvents = (chunk: Buffer): number => {
  let count = 0;
  let at = chunk.indexOf(EVENT_START);
  while (at >= 0) {
    count++;
    at = chunk.indexOf(EVENT_START, at + EVENT_START.length);
  }
  return count;
};

/** Sends requests over keep-alive connections. */
export class Caller {
  private readonly agent = new http.Agent({keepAlive: true});
  private sent = 0;

  constructor(private readonly target: CallerTarget) {}

  /** Sends one request; rejects if the connection breaks. */
  send(): Promise<Reply> {
    const {address, headers, createBody} = this.target;
    const [host = '', port = ''] = address.split(':');
    const body = createBody(this.sent++);
    const started = performance.now();
    return new Promise((resolve, reject) => {
      const request = http.request({
        agent: this.agent,
        host,
        port,
        method: 'POST',
        path: '/v1/chat/completions',
        headers: {
          ...headers,
          'content-type': 'application/json',
          'content-length': String(Buffer.byteLength(body)),
        },
      });
      request.once('error', reject);
      request.once('response', response => {
        let bytes = 0;
        let events = 0;
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          events += countEvents(chunk);
        });
        response.once('error', reject);
        response.once('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            bytes,
            events,
            latencyMs: performance.now() - started,
          }),
        );
      });
      request.end(body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
