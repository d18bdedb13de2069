/** Forwards requests to other instances, and reads what their answers mean. */
import * as decisions from '@amaranthknot/decisions';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as connectionPool from './connection-pool.js';
import * as discardRefusal from './discard-refusal.js';
import type * as headerNames from './header-names.js';
import type * as linkMonitor from './link-monitor.js';
import * as openExchange from './open-exchange.js';
import * as rawHeaders from './raw-headers.js';
import type * as upstreamCall from './upstream-call.js';
import * as upstreamNotices from './upstream-notices.js';

/** Records the notices in an answer of the upstream with this id. */
export type RecordForwardedNotices = (
  upstream: string,
  notices: upstreamNotices.UpstreamNotices,
) => void;

/**
 * Creates the function that forwards requests to other instances. What an
 * upstream says about itself in an answer that is passed on binds this instance
 * too.
 */
export const createOpenForward = (
  pool: connectionPool.ConnectionPool,
  names: headerNames.HeaderNames,
  recordNotices: RecordForwardedNotices,
): upstreamCall.OpenCall => {
  const parseNotices = upstreamNotices.createParseNotices(names);
  const requestIdName = names.requestId.toLowerCase();
  const classify: openExchange.ClassifyAnswer = (
    request,
    response,
    {framing, isBroken},
  ) => {
    const headers = response.rawHeaders;
    const status = response.statusCode ?? 0;
    const refusal = rawHeaders.findHeader(headers, REFUSAL_NAME);
    if (refusal !== undefined) {
      discardRefusal.discardRefusal(response);
      return purify.Left(classifyRefusal(refusal, status, headers));
    }
    if (rawHeaders.findHeader(headers, requestIdName) !== request.requestId) {
      response.destroy();
      return purify.Left({ran: 'unknown', reason: 'foreign_answer'});
    }
    const model = rawHeaders.findHeader(headers, MODEL_NAME);
    const upstream = rawHeaders.findHeader(headers, UPSTREAM_NAME);
    if (upstream !== undefined) {
      recordNotices(upstream, parseNotices(status, headers));
    }
    return purify.Right({
      status,
      headers: rawHeaders.keepEndToEnd(headers, FORWARD_NAMES),
      ...(model === undefined ? {} : {model}),
      ...(upstream === undefined ? {} : {upstream}),
      body: response,
      framing,
      isBroken,
    });
  };
  return openExchange.createOpen(pool, classify, NO_LINK_OBSERVER);
};

/** Links to other instances are not those to upstreams. */
const NO_LINK_OBSERVER: linkMonitor.LinkObserver = {
  record: () => undefined,
  recordSilence: () => undefined,
};

const REFUSAL_NAME = protocol.FORWARD_HEADERS.refusal.toLowerCase();
const MODEL_NAME = protocol.FORWARD_HEADERS.model.toLowerCase();
const UPSTREAM_NAME = protocol.FORWARD_HEADERS.upstream.toLowerCase();

/** Headers of a forwarded answer that its caller does not get. */
const FORWARD_NAMES: ReadonlySet<string> = new Set([
  REFUSAL_NAME,
  MODEL_NAME,
  UPSTREAM_NAME,
]);

/** Statuses of refusals after which the request may have run. */
const MAY_HAVE_RUN: ReadonlySet<number> = new Set([500, 502, 504]);

const classifyRefusal = (
  refusal: string,
  status: number,
  headers: rawHeaders.RawHeaders,
): upstreamCall.CallFailure => {
  if (MAY_HAVE_RUN.has(status)) {
    return {ran: 'unknown', reason: 'broken'};
  }
  const retryAfter = rawHeaders.findHeader(headers, 'retry-after');
  return {
    ran: 'not_run',
    reason: refusal === 'no_upstream' ? 'no_upstream' : 'refused',
    status,
    backoffMs: decisions.parseRetryAfterMs(retryAfter),
  };
};
