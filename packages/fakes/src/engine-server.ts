/**
 * Stand-in of a model engine: OpenAI-style streamed chat completions that
 * carry the request's identity and an offset on each chunk, resume at an
 * offset, stop when the caller goes away, and report load.
 */
import * as stream from 'node:stream';
import * as hapi from '@hapi/hapi';
import type * as ports from '@amaranthknot/ports';

/** What the engine does wrong with the next requests. */
export type EngineFault =
  'none' | 'refuse' | 'error' | 'cut' | 'crossed' | 'doubled' | 'silent';

/** Behaviour of a stand-in engine. */
export interface EngineServerOptions {
  readonly id: string;
  readonly clock: ports.Clock;
  readonly port?: number;
  /** `model@version` entries that the engine runs. */
  readonly serves: readonly string[];
  /** Tokens of the answer to a prompt. */
  readonly answer?: (prompt: string, model: string) => readonly string[];
  /** Score of an answer between 0 and 1. */
  readonly confidence?: (prompt: string, model: string) => number;
  /** Time between tokens; 0 sends all at once. */
  readonly tokenMs?: number;
  /** Concurrent requests before the engine answers 429. */
  readonly slots?: number;
}

/** The request that an engine takes. */
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

/** A running stand-in engine. */
export class EngineServer {
  private readonly server: hapi.Server;
  private inFlight = 0;
  /** Identity of each request that started here, in order. */
  readonly started: string[] = [];
  /** Identity of each request whose caller went away. */
  readonly cancelled: string[] = [];
  /** What goes wrong from now on. */
  fault: EngineFault = 'none';
  /** Tokens sent before a `cut`. */
  cutAfter = 1;
  /** When the engine turned cold on its clock; undefined while warm. */
  private coldSince: number | undefined;
  /** How it warms up once it is cold. */
  warmUp = {coldSlots: 1, warmMs: 10_000};
  /** Requests that it refused because it was cold. */
  coldRefusals = 0;
  /** Most work at once beyond what it bore at the time; 0 or less is right. */
  maxOverload = Number.NEGATIVE_INFINITY;
  /** Requests that the fault still applies to. */
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

  /** Turns cold without warning. */
  makeCold(): void {
    this.coldSince = this.options.clock.now();
  }

  /** Work at once that it bears now. */
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

  /** Time since it turned cold, in ms; long past warm when it never did. */
  private getAgeMs(): number {
    return this.coldSince === undefined
      ? 2 * this.warmUp.warmMs
      : this.options.clock.now() - this.coldSince;
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
    const body = request.payload as EngineRequest;
    const overload = this.inFlight + 1 - this.capacity;
    this.maxOverload = Math.max(this.maxOverload, overload);
    const fault = this.consumeFault();
    if (fault === 'refuse' || this.inFlight >= this.slots) {
      return h.response({error: {code: 'overloaded', ran: false}}).code(429);
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
