/** Answers readiness checks, callers' address questions, peers, collectors. */
import * as hapi from '@hapi/hapi';
import type * as configuration from '@amaranthknot/configuration';

/** Largest message of another instance, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** A question of a caller: where to connect. */
export interface DirectoryQuestion {
  readonly zone: string | undefined;
  readonly region: string | undefined;
  /** Address that the caller asks from. */
  readonly callerHost: string;
}

/** Creates a server that takes messages of other instances. */
export const createPeerServer = (
  address: configuration.Address,
  path: string,
  handle: (text: string) => Promise<string>,
): hapi.Server => {
  const server = hapi.server({...address, debug: false});
  server.route({
    method: 'POST',
    path,
    options: {payload: {parse: 'gunzip', maxBytes: MAX_MESSAGE_BYTES}},
    handler: async (request, h) => {
      const answer = await handle((request.payload as Buffer).toString());
      return h.response(answer).type('application/json');
    },
  });
  return server;
};

/** Creates a server that says whether this instance takes requests. */
export const createReadinessServer = (
  address: configuration.Address,
  path: string,
  isReady: () => boolean,
): hapi.Server => {
  const server = hapi.server({...address, debug: false});
  server.route({
    method: 'GET',
    path,
    handler: (_request, h) => h.response('').code(isReady() ? 200 : 503),
  });
  return server;
};

/** Creates a server that says where callers may connect. */
export const createDirectoryServer = (
  address: configuration.Address,
  path: string,
  answer: (question: DirectoryQuestion) => unknown,
): hapi.Server => {
  const server = hapi.server({...address, debug: false});
  server.route({
    method: 'GET',
    path,
    handler: (request, h) => {
      const {zone, region} = request.query as Record<string, string>;
      const callerHost = request.info.remoteAddress;
      const found = answer({zone, region, callerHost});
      return found === undefined
        ? h.response('').code(503)
        : h.response(found as object);
    },
  });
  return server;
};

/** Path at which metrics are collected. */
const METRICS_PATH = '/metrics';

/** Creates a server that gives metrics as text. */
export const createMetricsServer = (
  address: configuration.Address,
  format: () => Promise<string>,
): hapi.Server => {
  const server = hapi.server({...address, debug: false});
  server.route({
    method: 'GET',
    path: METRICS_PATH,
    handler: async (_request, h) =>
      h.response(await format()).type('text/plain'),
  });
  return server;
};
