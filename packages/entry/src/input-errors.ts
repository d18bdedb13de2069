/** Converts errors that hapi raises itself to the API's error format. */
import type * as hapi from '@hapi/hapi';
import * as protocol from '@amaranthknot/protocol';
import type * as apiError from './api-error.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as requestContext from './request-context.js';

/** Maximum size of a message between entry instances, in bytes. */
export const MAX_PEER_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Refuses a body by its `content-length`. hapi would first read the whole body,
 * so that a caller that never sends it would never get an answer.
 */
export const refuseOversizedBody = (
  dependencies: entryDependencies.EntryDependencies,
  request: hapi.Request,
  h: hapi.ResponseToolkit,
): hapi.ResponseObject | symbol => {
  const isPeerMessage = request.path === protocol.INNER_PATH;
  const maxBytes = isPeerMessage
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

/**
 * Formats hapi's own errors, such as a malformed path; logs internal errors.
 */
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
  const isInternal = status >= 500;
  if (isInternal) {
    const {message, stack} = response;
    dependencies.logger.error(
      'request handler failed; answering internal, ran unknown',
      {
        message,
        stack,
      },
    );
  }
  // hapi refuses a body or path before a handler runs; a handler may fail after
  // the request was sent to an upstream.
  const error: apiError.ApiError = isInternal
    ? {code: 'internal', ran: 'unknown', message: 'internal error'}
    : {
        code: 'invalid_request',
        ran: 'not_run',
        message: response.message,
      };
  const requestId = dependencies.newId();
  return requestContext.replyError(h, error, requestId).code(status);
};
