/**
 * Fake model engine over HTTP. It streams OpenAI-style chat completions whose
 * chunks carry the request's id and an offset, resumes at an offset, stops when
 * the caller disconnects, and reports its load.
 */
import * as stream from 'node:stream';
import * as hapi from '@hapi/hapi';
import type * as ports from '@amaranthknot/ports';

/**
 * Fault that the engine applies to a request.
 *
 * - `refuse`: answers 429 with `ran: false`.
 * - `error`: starts the request, then answers 500.
 * - `cut`: closes the connection after `cutAfter` tokens.
 * - `crossed`: chunks carry the id of another request.
 * - `doubled`: sends each chunk twice.
 * - `silent`: takes the request and sends nothing.
 */
export type EngineFault =
  'none' | 'refuse' | 'error' | 'cut' | 'crossed' | 'doubled' | 'silent';

/** Options of a fake engine. */
export interface EngineServerOptions {
  readonly id: string;
  readonly clock: ports.Clock;
  readonly port?: number;
  /** `model@version` entries that the engine runs. */
  readonly serves: readonly string[];
  /** Returns the answer to a prompt, as tokens. */
  readonly answer?: (prompt: string, model: string) => readonly string[];
  /** Returns the confidence in an answer, 0 to 1; 1 by default. */
  readonly confidence?: (prompt: string, model: string) => number;
  /** Time between tokens, in milliseconds; 0 sends all at once. */
  readonly tokenMs?: number;
  /** Concurrent requests from which the engine answers 429. */
  readonly slots?: number;
}

/** Body of a completion request. */
interface EngineRequest {
  readonly model: string;
  readonly messages: readonly {readonly role: string; content: string}[];
  readonly request_id: string;
  readonly resume_from?: number;
}

const DEFAULT_SLOTS = 64;

const defaultAnswer = (prompt: string, model: string): readonly string[] =>
  `${model} answers: ${prompt}`.split(/(?<= )/);

const encode = (data: unknown): string => `data: ${JSON.stringify(data)}\n\n`;

/** A fake engine, listening on 127.0.0.1 once started. */
export class EngineServer {
  private readonly server: hapi.Server;
  private inFlight = 0;
  /** Ids of the requests that started, in order. */
  readonly started: string[] = [];
  /** Ids of the requests whose caller disconnected. */
  readonly cancelled: string[] = [];
  /** Fault of the next `remainingFaults` requests. */
  fault: EngineFault = 'none';
  /** Tokens sent before a `cut`. */
  cutAfter = 1;
  /** Clock time of the last cold start; undefined if there was none. */
  private coldSince: number | undefined;
  /** Warm-up: `coldSlots` at first, all slots after `warmMs` milliseconds. */
  warmUp = {coldSlots: 1, warmMs: 10_000};
  /** Requests refused during warm-up. */
  coldRefusals = 0;
  /** Maximum of requests in flight less capacity; above 0 is an overload. */
  maxOverload = Number.NEGATIVE_INFINITY;
  /** `Retry-After` of refusals, in seconds; undefined for none. */
  retryAfterS: number | undefined;
  /** Requests that arrived, refused ones included. */
  arrivals = 0;
  /** Number of requests that the fault still applies to. */
  remainingFaults = Number.POSITIVE_INFINITY;

  constructor(private readonly options: EngineServerOptions) {
    this.server = hapi.server({
      host: '127.0.0.1',
      port: options.port ?? 0,
      compression: false,
    });
    this.server.route([
      {
        method: 'POST',
        path: '/v1/chat/completions',
        handler: (request, h) => this.complete(request, h),
      },
      {
        method: 'GET',
        path: '/load',
        handler: () => ({
          in_flight: this.inFlight,
          slots: this.slots,
          serves: this.options.serves,
          cold_slots: this.warmUp.coldSlots,
          warm_ms: this.warmUp.warmMs,
          age_ms: this.getAgeMs(),
        }),
      },
    ]);
  }

  /** Address as `ip:port` once started. */
  get address(): string {
    return `127.0.0.1:${this.server.info.port}`;
  }

  /** Starts a warm-up now, unannounced. */
  makeCold(): void {
    this.coldSince = this.options.clock.now();
  }

  /** Concurrent requests that the engine can serve now. */
  get capacity(): number {
    const {coldSlots, warmMs} = this.warmUp;
    const progress = Math.min(1, this.getAgeMs() / warmMs);
    return Math.floor(coldSlots + (this.slots - coldSlots) * progress);
  }

  async start(): Promise<void> {
    await this.server.start();
  }

  async stop(): Promise<void> {
    await this.server.stop({timeout: 100});
  }

  private get slots(): number {
    return this.options.slots ?? DEFAULT_SLOTS;
  }

  /** Time since the cold start, in ms; past the warm-up if there was none. */
  private getAgeMs(): number {
    return this.coldSince === undefined
      ? 2 * this.warmUp.warmMs
      : this.options.clock.now() - this.coldSince;
  }

  private addRetryAfter(answer: hapi.ResponseObject): hapi.ResponseObject {
    return this.retryAfterS === undefined
      ? answer
      : answer.header('retry-after', String(this.retryAfterS));
  }

  private consumeFault(): EngineFault {
    if (this.fault === 'none' || this.remainingFaults <= 0) {
      return 'none';
    }
    this.remainingFaults--;
    return this.fault;
  }

  private complete(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): hapi.ResponseObject | Promise<hapi.ResponseObject> {
    this.arrivals++;
    const body = request.payload as EngineRequest;
    const overload = this.inFlight + 1 - this.capacity;
    this.maxOverload = Math.max(this.maxOverload, overload);
    const fault = this.consumeFault();
    if (fault === 'refuse' || this.inFlight >= this.slots) {
      const answer = h.response({error: {code: 'overloaded', ran: false}});
      return this.addRetryAfter(answer.code(429));
    }
    if (this.inFlight >= this.capacity) {
      this.coldRefusals++;
      return h.response({error: {code: 'cold', ran: false}}).code(503);
    }
    if (!this.options.serves.includes(body.model)) {
      return h.response({error: {code: 'not_loaded', ran: false}}).code(404);
    }
    this.started.push(body.request_id);
    if (fault === 'error') {
      return h.response({error: {code: 'internal'}}).code(500);
    }
    const output = new stream.PassThrough();
    request.raw.res.once('close', () => {
      if (!request.raw.res.writableFinished) {
        this.cancelled.push(body.request_id);
      }
      output.destroy();
    });
    this.inFlight++;
    void this.generate(body, fault, output, request).finally(
      () => this.inFlight--,
    );
    return h.response(output).type('text/event-stream');
  }

  private async generate(
    body: EngineRequest,
    fault: EngineFault,
    output: stream.PassThrough,
    request: hapi.Request,
  ): Promise<void> {
    const prompt = body.messages.map(message => message.content).join('\n');
    const makeAnswer = this.options.answer ?? defaultAnswer;
    const tokens = makeAnswer(prompt, body.model);
    const id = fault === 'crossed' ? 'another-request' : body.request_id;
    const start = body.resume_from ?? 0;
    for (let offset = start; offset < tokens.length; offset++) {
      if (fault === 'silent') {
        return;
      }
      if (fault === 'cut' && offset - start >= this.cutAfter) {
        request.raw.res.destroy();
        return;
      }
      await this.pause();
      const chunk = this.formatChunk(id, body.model, offset, tokens[offset]);
      output.write(chunk);
      if (fault === 'doubled') {
        output.write(chunk);
      }
    }
    const confidence = this.options.confidence?.(prompt, body.model) ?? 1;
    output.end(
      encode({
        id,
        object: 'chat.completion.chunk',
        model: body.model,
        offset: tokens.length,
        choices: [{index: 0, delta: {}, finish_reason: 'stop'}],
        usage: {completion_tokens: tokens.length},
        confidence,
      }) + 'data: [DONE]\n\n',
    );
  }

  private async pause(): Promise<void> {
    const ms = this.options.tokenMs ?? 0;
    if (ms > 0) {
      await this.options.clock.sleep(ms);
    }
  }

  private formatChunk(
    id: string,
    model: string,
    offset: number,
    token: string | undefined,
  ): string {
    return encode({
      id,
      object: 'chat.completion.chunk',
      model,
      offset,
      choices: [{index: 0, delta: {content: token ?? ''}, finish_reason: null}],
    });
  }
}
