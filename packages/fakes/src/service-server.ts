/** Fake of a plain service, such as seat booking, that records its runs. */
import * as hapi from '@hapi/hapi';

/**
 * Fault of the service.
 *
 * - `refuse`: answers 429 with `ran: false`.
 * - `cut_after`: runs the call, then closes the connection without an answer.
 * - `cut_before`: closes the connection without running the call.
 * - `silent`: runs the call and never answers.
 */
export type ServiceFault =
  'none' | 'refuse' | 'cut_after' | 'cut_before' | 'silent';

/** A call that the service ran. */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
}

/** A fake service, listening on 127.0.0.1 once started. */
export class ServiceServer {
  private readonly server: hapi.Server;
  /** Calls that ran, in order. */
  readonly runs: ServiceRun[] = [];
  /** `Retry-After` of refusals, in seconds; undefined for none. */
  retryAfterS: number | undefined;
  /** Calls that arrived, refused ones included. */
  arrivals = 0;
  /** Fault of the calls from now on. */
  fault: ServiceFault = 'none';

  constructor(
    readonly name: string,
    port = 0,
  ) {
    this.server = hapi.server({host: '127.0.0.1', port});
    this.server.route({
      method: '*',
      path: '/{path*}',
      handler: (request, h) => this.run(request, h),
    });
  }

  /** Address as `ip:port` once started. */
  get address(): string {
    return `127.0.0.1:${this.server.info.port}`;
  }

  async start(): Promise<void> {
    await this.server.start();
  }

  async stop(): Promise<void> {
    await this.server.stop({timeout: 100});
  }

  private run(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): hapi.ResponseObject | symbol {
    this.arrivals++;
    if (this.fault === 'refuse') {
      const answer = h.response({error: {code: 'busy', ran: false}}).code(429);
      return this.retryAfterS === undefined
        ? answer
        : answer.header('retry-after', String(this.retryAfterS));
    }
    if (this.fault === 'cut_before') {
      request.raw.req.destroy();
      return h.abandon;
    }
    const requestId = [request.headers['x-request-id']].flat().join('');
    this.runs.push({
      method: request.method.toUpperCase(),
      path: request.path,
      requestId,
    });
    if (this.fault === 'silent') {
      return h.abandon;
    }
    if (this.fault === 'cut_after') {
      request.raw.res.destroy();
      return h.abandon;
    }
    return h
      .response({service: this.name, run: this.runs.length})
      .header('x-request-id', requestId);
  }
}
