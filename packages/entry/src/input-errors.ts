/** Errors of input that no handler of ours sees, in our shape. */
import type * as hapi from '@hapi/hapi';
import * as protocol from '@amaranthknot/protocol';
import type * as apiError from './api-error.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as requestContext from './request-context.js';

/** Largest message between entry instances, in bytes. */
export const MAX_PEER_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Refuses a body by its announced length. hapi would first read all of it,
 * so that a caller which never sends it would never be answered.
 */
export const refuseOversizedBody = (
  dependencies: entryDependencies.EntryDependencies,
  request: hapi.Request,
  h: hapi.ResponseToolkit,
): hapi.ResponseObject | symbol => {
  const isPeers = request.path === protocol.INNER_PATH;
  const maxBytes = isPeers
    ? MAX_PEER_BODY_BYTES
    : dependencies.limits.maxBodyBytes;
  const length = Number(request.headers['content-length'] ?? 0);
  if (length <= maxBytes) {
    return h.continue;
  }
  const message = `a body has at most ${maxBytes} bytes`;
  const error = {code: 'invalid_request', ran: 'not_run', message} as const;
  return requestContext
    .replyError(h, error, dependencies.newId())
    .code(413)
    .takeover();
};

/** Gives hapi's own errors, such as a body too large, our shape. */
export const formatBoomError = (
  dependencies: entryDependencies.EntryDependencies,
  request: hapi.Request,
  h: hapi.ResponseToolkit,
): hapi.ResponseObject | symbol => {
  const {response} = request;
  if (!('isBoom' in response)) {
    return h.continue;
  }
  const status = response.output.statusCode;
  const isOurs = status >= 500;
  if (isOurs) {
    const {message, stack} = response;
    dependencies.logger.error('request failed', {message, stack});
  }
  // hapi refuses a body or path before any handler of ours runs; a failure
  // inside a handler may have come after the work began.
  const error: apiError.ApiError = isOurs
    ? {code: 'internal', ran: 'unknown', message: 'internal error'}
    : {
        code: 'invalid_request',
        ran: 'not_run',
        message: response.message,
      };
  const requestId = dependencies.newId();
  return requestContext.replyError(h, error, requestId).code(status);
};
