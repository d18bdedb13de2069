/** The HTTP server of one entry instance. */
import * as hapi from '@hapi/hapi';
import * as protocol from '@amaranthknot/protocol';
import * as authenticate from './authenticate.js';
import * as chatRoutes from './chat-routes.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as listeners from './listener.js';
import * as inputErrors from './input-errors.js';
import * as requestContext from './request-context.js';
import * as resolvePlan from './resolve-plan.js';
import * as serviceRoutes from './service-routes.js';

/** Routes the requests of callers, operators and peers. */
export class EntryServer {
  private readonly server: hapi.Server;
  private readonly chat: chatRoutes.ChatRoutes;
  private readonly services: serviceRoutes.ServiceRoutes;
  private leaving = false;
  private isOpen = false;
  /** Number of callers' requests in progress. */
  private active = 0;

  constructor(
    private readonly dependencies: entryDependencies.EntryDependencies,
  ) {
    this.chat = new chatRoutes.ChatRoutes(dependencies);
    this.services = new serviceRoutes.ServiceRoutes(dependencies);
    const listener = new listeners.Listener(
      dependencies.limits,
      dependencies.newId,
    );
    this.server = hapi.server({
      listener: listener.server,
      host: dependencies.listen.host,
      port: dependencies.listen.port,
      routes: {
        payload: {maxBytes: dependencies.limits.maxBodyBytes},
        // A partial answer must not be taken for a complete one, and an invalid
        // range must not turn an answer into a refusal after the request ran.
        response: {ranges: false},
      },
      // gzip would buffer streamed tokens: callers that accept gzip, as most
      // libraries do, would get the whole answer at once.
      compression: false,
      // `formatBoomError` logs errors; hapi would log them a second time.
      debug: false,
    });
    listener.handleClientErrors();
    this.server.ext('onRequest', (request, h) =>
      inputErrors.refuseOversizedBody(dependencies, request, h),
    );
    this.server.ext('onPreResponse', (request, h) =>
      inputErrors.formatBoomError(dependencies, request, h),
    );
    this.addCallerRoutes();
    this.addOperatorRoutes();
  }

  /** Port that the started server listens on. */
  get port(): number {
    return Number(this.server.info.port);
  }

  async start(): Promise<void> {
    await this.server.start();
  }

  /**
   * Lets `/readyz` report ready, once this instance knows its upstreams. Peers
   * are answered before.
   */
  open(): void {
    this.isOpen = true;
  }

  /** Lets `/readyz` report not ready; requests are still served. */
  leave(): void {
    this.leaving = true;
  }

  /** Number of callers' requests in progress. */
  get inProgress(): number {
    return this.active;
  }

  /** Stops listening; waits up to `stopGraceMs` for requests in progress. */
  async stop(): Promise<void> {
    await this.server.stop({timeout: this.dependencies.limits.stopGraceMs});
  }

  private addCallerRoutes(): void {
    const raw = {
      parse: false,
      output: 'data',
      maxBytes: this.dependencies.limits.maxBodyBytes,
      timeout: listeners.BODY_TIMEOUT_MS,
    } as const;
    this.server.route([
      {
        method: 'POST',
        path: '/v1/chat/completions',
        options: {payload: raw},
        handler: (request, h) =>
          this.track(request, () => this.chat.handle(request, h)),
      },
      {
        method: ['POST', 'PUT', 'PATCH', 'DELETE'],
        path: '/services/{service}/{path*}',
        options: {payload: raw},
        handler: (request, h) =>
          this.track(request, () => this.services.handle(request, h)),
      },
      {
        method: 'GET',
        path: '/services/{service}/{path*}',
        handler: (request, h) =>
          this.track(request, () => this.services.handle(request, h)),
      },
      {
        method: 'GET',
        path: '/v1/models',
        handler: (request, h) => this.listModels(request, h),
      },
      {
        method: 'GET',
        path: '/v1/entry-instances',
        handler: (request, h) => this.listAddresses(request, h),
      },
    ]);
  }

  private isReady(): boolean {
    return (
      this.isOpen &&
      !this.leaving &&
      this.dependencies.activeConfiguration() !== undefined
    );
  }

  private addOperatorRoutes(): void {
    this.server.route([
      {method: 'GET', path: '/healthz', handler: () => ({status: 'ok'})},
      {
        method: 'GET',
        path: '/readyz',
        handler: (_request, h) => {
          const ready = this.isReady();
          return h
            .response({ready, leaving: this.leaving})
            .code(ready ? 200 : 503);
        },
      },
      {
        method: 'GET',
        path: '/metrics',
        handler: async (request, h) => {
          if (!this.isOperator(request)) {
            return this.refuseKey(h);
          }
          const {registry} = this.dependencies.metrics;
          return h.response(await registry.metrics()).type('text/plain');
        },
      },
      {
        method: 'GET',
        path: '/operator/state',
        handler: (request, h) =>
          this.isOperator(request)
            ? h.response(this.dependencies.describeState())
            : this.refuseKey(h),
      },
      {
        method: 'GET',
        path: '/operator/events',
        handler: (request, h) => {
          if (!this.isOperator(request)) {
            return this.refuseKey(h);
          }
          const {after} = request.query as {after?: string};
          const events = this.dependencies.events.read(Number(after ?? -1));
          return h.response({events});
        },
      },
      {
        method: 'POST',
        path: protocol.INNER_PATH,
        options: {
          payload: {
            parse: 'gunzip',
            output: 'data',
            maxBytes: inputErrors.MAX_PEER_BODY_BYTES,
          },
        },
        handler: async (request, h) => {
          if (!this.isPeer(request)) {
            return this.refuseKey(h);
          }
          const text = (request.payload as Buffer).toString('utf8');
          const answer = await this.dependencies.handlePeer(text);
          return h.response(answer).type('application/json');
        },
      },
    ]);
  }

  /** Counts a request as in progress until its response is closed. */
  private track(
    request: hapi.Request,
    handle: () => Promise<hapi.ResponseObject>,
  ): Promise<hapi.ResponseObject> {
    this.active++;
    request.raw.res.once('close', () => this.active--);
    return handle();
  }

  private listModels(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): hapi.ResponseObject {
    return requestContext.createContext(this.dependencies, request).caseOf({
      Left: error =>
        requestContext.replyError(h, error, this.dependencies.newId()),
      Right: ({workspace, activeConfiguration}) => {
        const {document} = activeConfiguration;
        const cascades = document.cascades.map(cascade => cascade.name);
        const models = document.models.map(model => model.name);
        const data = [...cascades, ...models]
          .filter(name =>
            resolvePlan.resolvePlan(document, workspace, name).isRight(),
          )
          .map(id => ({
            id,
            object: 'model',
            created: 0,
            owned_by: 'amaranthknot',
          }));
        return h.response({object: 'list', data});
      },
    });
  }

  private listAddresses(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): hapi.ResponseObject {
    const {zone} = request.query as {zone?: string};
    const maxAgeMs = this.dependencies.limits.addressMaxAgeMs;
    const seconds = Math.floor(maxAgeMs / 1000);
    return h
      .response({
        instances: this.dependencies.listAddresses(zone),
        max_age_ms: maxAgeMs,
      })
      .header('cache-control', `max-age=${seconds}`);
  }

  private isOperator(request: hapi.Request): boolean {
    const header = requestContext.readHeader(request, 'authorization');
    const key = authenticate.readBearerKey(header);
    return (
      key !== undefined &&
      authenticate.equalDigests(
        authenticate.digestKey(key),
        this.dependencies.operatorDigest,
      )
    );
  }

  private isPeer(request: hapi.Request): boolean {
    const header = requestContext.readHeader(request, 'authorization');
    const key = authenticate.readBearerKey(header);
    const expected = authenticate.digestKey(this.dependencies.innerKey);
    return (
      key !== undefined &&
      authenticate.equalDigests(authenticate.digestKey(key), expected)
    );
  }

  private refuseKey(h: hapi.ResponseToolkit): hapi.ResponseObject {
    const message = 'this needs a key of its own';
    const error = {code: 'invalid_key', ran: 'not_run', message} as const;
    return requestContext.replyError(h, error, this.dependencies.newId());
  }
}
