/**
 * Fake platform over HTTP: the object API, the instance list and the rating
 * service, with faults that tests inject.
 */
import * as hapi from '@hapi/hapi';
import type * as ports from '@amaranthknot/ports';
import * as memoryObjectStore from './memory-object-store.js';

/** Options of the fake platform. */
export interface PlatformServerOptions {
  readonly clock: ports.Clock;
  /** Port on 127.0.0.1; 0 picks a free one. */
  readonly port?: number;
  readonly instances?: readonly ports.ListedInstance[];
}

/**
 * Fault of the object API: `down` refuses calls, `lost_after` applies them and
 * loses the answer. `down` applies to the instance list too.
 */
export type PlatformMode = 'up' | 'down' | 'lost_after';

interface ObjectParams {
  readonly kind: string;
  readonly name: string;
}

const paramsOf = (request: hapi.Request): ObjectParams =>
  request.params as unknown as ObjectParams;

const STATUS_BY_CODE: Record<ports.StoreErrorCode, number> = {
  conflict: 409,
  not_found: 404,
  unavailable: 503,
  unknown: 504,
  history_gone: 410,
};

/** A fake platform, listening on 127.0.0.1 once started. */
export class PlatformServer {
  readonly store: memoryObjectStore.MemoryObjectStore;
  private readonly server: hapi.Server;
  private instances: readonly ports.ListedInstance[];
  /** Returns the rating of an answer, or undefined for none. */
  rate: (sample: ports.RatingSample) => number | undefined = () => 1;
  private readonly ratings = new Map<string, ports.Rating[]>();
  /** Fault of the calls from now on. */
  mode: PlatformMode = 'up';
  /** Whether the instance list answers 503 while the rest works. */
  isInstanceListDown = false;

  constructor(options: PlatformServerOptions) {
    this.instances = options.instances ?? [];
    this.store = new memoryObjectStore.MemoryObjectStore({
      clock: options.clock,
      fault: () => this.getCurrentFault(),
    });
    this.server = hapi.server({
      host: '127.0.0.1',
      port: options.port ?? 0,
      routes: {payload: {maxBytes: 4 * 1024 * 1024}},
    });
    this.addRoutes();
  }

  /** Base URL once started. */
  get url(): string {
    return this.server.info.uri;
  }

  /** Replaces the instance list. */
  setInstances(instances: readonly ports.ListedInstance[]): void {
    this.instances = instances;
  }

  async start(): Promise<void> {
    await this.server.start();
  }

  async stop(): Promise<void> {
    await this.server.stop({timeout: 100});
  }

  private getCurrentFault(): memoryObjectStore.StoreFault {
    switch (this.mode) {
      case 'up':
        return 'none';
      case 'down':
        return 'down';
      case 'lost_after':
        return 'lost_after';
    }
  }

  private addRoutes(): void {
    const path = '/objects/{kind}/{name}';
    this.server.route([
      {
        method: 'GET',
        path,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          return this.reply(h, this.store.get(kind, name));
        },
      },
      {
        method: 'POST',
        path,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          const {value} = request.payload as {value: unknown};
          return this.reply(h, this.store.create(kind, name, value));
        },
      },
      {
        method: 'PUT',
        path,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          const {value} = request.payload as {value: unknown};
          const version = Number(request.headers['if-match']);
          return this.reply(h, this.store.update(kind, name, value, version));
        },
      },
      {
        method: 'DELETE',
        path,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          const version = Number(request.headers['if-match']);
          return this.reply(h, this.store.delete(kind, name, version));
        },
      },
      {
        method: 'GET',
        path: '/objects/{kind}',
        handler: (request, h) => {
          const kind = paramsOf(request).kind;
          const {prefix} = request.query as {prefix?: string};
          return this.reply(h, this.store.list(kind, prefix));
        },
      },
      {
        method: 'GET',
        path: '/watch/{kind}',
        handler: (request, h) => {
          const kind = paramsOf(request).kind;
          const query = request.query as {after: string; wait_ms: string};
          const events = this.store.watch(
            kind,
            Number(query.after),
            Number(query.wait_ms),
          );
          return this.reply(h, events);
        },
      },
      {
        method: 'GET',
        path: '/instances',
        handler: (_request, h) =>
          this.mode === 'down' || this.isInstanceListDown
            ? h.response({error: 'down'}).code(503)
            : {instances: this.instances},
      },
      {
        method: 'POST',
        path: '/ratings/{name}',
        handler: request => {
          const {samples} = request.payload as {
            samples: readonly ports.RatingSample[];
          };
          this.rateSamples(paramsOf(request).name, samples);
          return {};
        },
      },
      {
        method: 'GET',
        path: '/ratings/{name}',
        handler: request => {
          const {after} = request.query as {after: string};
          const all = this.ratings.get(paramsOf(request).name) ?? [];
          return {ratings: all.slice(Number(after)), cursor: all.length};
        },
      },
      {
        method: 'POST',
        path: '/instances/{name}',
        handler: request => {
          const listed = request.payload as ports.ListedInstance;
          this.register(listed);
          return {registered: listed.id};
        },
      },
    ]);
  }

  /** Adds an instance to the list, or replaces the one of the same id. */
  register(listed: ports.ListedInstance): void {
    const others = this.instances.filter(row => row.id !== listed.id);
    this.instances = [...others, listed];
  }

  private rateSamples(
    source: string,
    samples: readonly ports.RatingSample[],
  ): void {
    const all = this.ratings.get(source) ?? [];
    for (const sample of samples) {
      const rating = this.rate(sample);
      if (rating !== undefined) {
        all.push({requestId: sample.requestId, rating});
      }
    }
    this.ratings.set(source, all);
  }

  private async reply<T>(
    h: hapi.ResponseToolkit,
    result: Promise<ports.StoreResult<T>>,
  ): Promise<hapi.ResponseObject> {
    const outcome = await result;
    return outcome.caseOf({
      Left: error => h.response({...error}).code(STATUS_BY_CODE[error.code]),
      Right: value => h.response(value ?? {}).code(200),
    });
  }
}
