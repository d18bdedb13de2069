/**
 * Fake of the users' object store over HTTP, with the protocol that the users
 * documented. It has the faults of the in-memory store behind it, and can leave
 * calls unanswered.
 */
import * as hapi from '@hapi/hapi';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import * as memoryObjectStore from '../memory-object-store.js';

const KIND_PATH = `${platform.OBJECTS_PATH}/{kind}`;
const OBJECT_PATH = `${KIND_PATH}/{name}`;

const STATUS_BY_CODE: Readonly<Record<ports.StoreErrorCode, number>> = {
  conflict: 409,
  not_found: 404,
  unavailable: 503,
  unknown: 504,
  history_gone: 410,
};

interface WireObject {
  readonly metadata: {readonly name: string; readonly revision: number};
  readonly specification?: unknown;
  readonly status?: unknown;
}

const toWire = (object: ports.StoredObject): unknown => ({
  metadata: {
    name: object.name,
    revision: object.version,
    created: object.version,
    finalizers: [],
    deleting: false,
  },
  specification: object.value,
  status: object.status ?? null,
});

const paramsOf = (request: hapi.Request) =>
  request.params as unknown as {readonly kind: string; readonly name: string};

const queryOf = (request: hapi.Request) =>
  request.query as Readonly<Record<string, string | undefined>>;

/** A fake object store, listening on 127.0.0.1 once started. */
export class ObjectApiServer {
  readonly store: memoryObjectStore.MemoryObjectStore;
  private readonly server: hapi.Server;
  /** Whether calls are accepted and never answered. */
  isSilent = false;

  constructor(clock: ports.Clock, port = 0) {
    this.store = new memoryObjectStore.MemoryObjectStore({clock});
    this.server = hapi.server({host: '127.0.0.1', port, debug: false});
    this.server.ext('onRequest', (_request, h) =>
      this.isSilent ? h.abandon : h.continue,
    );
    this.addReadRoutes();
    this.addWriteRoutes();
  }

  /** `host:port` once started. */
  get address(): string {
    return `${this.server.info.host}:${this.server.info.port}`;
  }

  async start(): Promise<void> {
    await this.server.start();
  }

  async stop(): Promise<void> {
    await this.server.stop({timeout: 50});
  }

  private addReadRoutes(): void {
    this.server.route([
      {
        method: 'GET',
        path: KIND_PATH,
        handler: (request, h) =>
          queryOf(request)['watch'] === undefined
            ? this.list(request, h)
            : this.watch(request, h),
      },
      {
        method: 'GET',
        path: OBJECT_PATH,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          return this.reply(h, this.store.get(kind, name));
        },
      },
    ]);
  }

  private addWriteRoutes(): void {
    this.server.route([
      {
        method: 'POST',
        path: KIND_PATH,
        handler: (request, h) => {
          const {kind} = paramsOf(request);
          const {metadata, specification} = request.payload as WireObject;
          const made = this.store.create(kind, metadata.name, specification);
          return this.reply(h, made);
        },
      },
      {
        method: 'PUT',
        path: OBJECT_PATH,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          const {metadata, specification} = request.payload as WireObject;
          return this.reply(
            h,
            this.store.update(kind, name, specification, metadata.revision),
          );
        },
      },
      {
        method: 'PUT',
        path: `${OBJECT_PATH}/status`,
        handler: (request, h) => {
          const {kind, name} = paramsOf(request);
          const {metadata, status} = request.payload as WireObject;
          return this.reply(
            h,
            this.store.updateStatus(kind, name, status, metadata.revision),
          );
        },
      },
      {
        method: 'DELETE',
        path: OBJECT_PATH,
        handler: async (request, h) => {
          const {kind, name} = paramsOf(request);
          const revision = Number(queryOf(request)['revision']);
          const removed = await this.store.delete(kind, name, revision);
          return removed.caseOf({
            Left: error => h.response({}).code(STATUS_BY_CODE[error.code]),
            Right: () => h.response({}),
          });
        },
      },
    ]);
  }

  private async list(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): Promise<hapi.ResponseObject> {
    const listed = await this.store.list(paramsOf(request).kind);
    return listed.caseOf({
      Left: error => h.response({}).code(STATUS_BY_CODE[error.code]),
      Right: ({objects, version}) =>
        h.response({items: objects.map(toWire), more: false, at: version}),
    });
  }

  private async watch(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): Promise<hapi.ResponseObject> {
    const {watch, waitMs} = queryOf(request);
    const changes = await this.store.watch(
      paramsOf(request).kind,
      Number(watch),
      Number(waitMs),
    );
    return changes.caseOf({
      Left: error => h.response({}).code(STATUS_BY_CODE[error.code]),
      Right: ({events, version}) =>
        h.response({
          events: events.map(({type, object}) => ({
            tombstone: type === 'delete',
            object: toWire(object),
          })),
          at: version,
        }),
    });
  }

  private async reply(
    h: hapi.ResponseToolkit,
    result: Promise<ports.StoreResult<ports.StoredObject>>,
  ): Promise<hapi.ResponseObject> {
    const outcome = await result;
    return outcome.caseOf({
      Left: error => h.response({}).code(STATUS_BY_CODE[error.code]),
      Right: object => h.response(toWire(object) as object),
    });
  }
}
