/** Builds the headers of a request that is forwarded to another instance. */
import * as protocol from '@amaranthknot/protocol';
import type * as headerNames from './header-names.js';
import type * as runContext from './run-context.js';
import * as rawHeaders from './raw-headers.js';

/** Headers that tell the forwarding instance who gives an answer. */
export const describeAnswer = (
  upstream: string,
  model: string | undefined,
): rawHeaders.RawHeaders => [
  protocol.FORWARD_HEADERS.upstream,
  upstream,
  ...(model === undefined ? [] : [protocol.FORWARD_HEADERS.model, model]),
];

/** Values of one forwarded attempt. */
export interface ForwardHeaders {
  readonly request: protocol.ForwardedRequest;
  readonly timeLeftMs: number;
  /** Number of the last event that the caller already has. */
  readonly lastEventId: string | undefined;
}

/**
 * The caller's end-to-end headers as they came, but for the time that is left,
 * the last event and the header that only instances may send.
 */
export const createForwardHeaders = (
  {caller}: runContext.AcceptedRequest,
  {request, timeLeftMs, lastEventId}: ForwardHeaders,
  {headers: names}: headerNames.HeaderConventions,
): rawHeaders.RawHeaders => {
  const replaced = [
    protocol.FORWARD_HEADERS.request,
    names.timeLeft,
    names.lastEventId,
    'content-length',
    'expect',
  ];
  const headers = rawHeaders.keepEndToEnd(
    caller.headers,
    new Set(replaced.map(name => name.toLowerCase())),
  );
  headers.push(
    protocol.FORWARD_HEADERS.request,
    protocol.encodeForwardedRequest(request),
  );
  headers.push(names.timeLeft, String(Math.floor(timeLeftMs)));
  if (lastEventId !== undefined) {
    headers.push(names.lastEventId, lastEventId);
  }
  headers.push('Content-Length', String(caller.body.length));
  return headers;
};
