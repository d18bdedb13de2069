/** Builds the headers of a request to an upstream. */
import * as decisions from '@amaranthknot/decisions';
import * as protocol from '@amaranthknot/protocol';
import type * as runContext from './run-context.js';
import type * as headerNames from './header-names.js';
import * as rawHeaders from './raw-headers.js';

/** Values that this instance sets for one attempt. */
export interface AttemptHeaders {
  readonly upstreamId: string;
  readonly timeLeftMs: number;
  readonly model: string | undefined;
  /** Number of the last event that the caller already has. */
  readonly lastEventId: string | undefined;
}

/** Lower-case names of caller headers that are dropped or set anew. */
const findReplacedNames = (
  headerConventions: headerNames.HeaderConventions,
): ReadonlySet<string> => {
  const {headers, instanceOnlyHeaders} = headerConventions;
  const names = [
    ...instanceOnlyHeaders,
    protocol.FORWARD_HEADERS.request,
    headers.timeLeft,
    headers.apiKey,
    headers.model,
    headers.lastEventId,
    'content-length',
    'expect',
  ];
  return new Set(names.map(name => name.toLowerCase()));
};

const replacedNames = new WeakMap<
  headerNames.HeaderConventions,
  ReadonlySet<string>
>();

const replacedNamesOf = (
  headerConventions: headerNames.HeaderConventions,
): ReadonlySet<string> => {
  const known =
    replacedNames.get(headerConventions) ??
    findReplacedNames(headerConventions);
  replacedNames.set(headerConventions, known);
  return known;
};

/** The headers of one attempt: the caller's end-to-end ones and our own. */
export const createUpstreamHeaders = (
  request: runContext.AcceptedRequest,
  attempt: AttemptHeaders,
  headerConventions: headerNames.HeaderConventions,
): rawHeaders.RawHeaders => {
  const {caller, workspace} = request;
  const {headers: names} = headerConventions;
  const headers = rawHeaders.keepEndToEnd(
    caller.headers,
    replacedNamesOf(headerConventions),
  );
  headers.push(names.expectedUpstream, attempt.upstreamId);
  headers.push(names.timeLeft, String(Math.floor(attempt.timeLeftMs)));
  if (caller.generation) {
    const priority = decisions.findPrefillPriority(
      caller.generation.promptTokens,
    );
    headers.push(names.priority, String(priority));
  }
  if (workspace) {
    headers.push(names.workspace, workspace.name);
  }
  const model = attempt.model ?? findHeader(caller.headers, names.model);
  if (model !== undefined) {
    headers.push(names.model, model);
  }
  if (attempt.lastEventId !== undefined) {
    headers.push(names.lastEventId, attempt.lastEventId);
  }
  if (caller.body.length > 0 || !isBodiless(caller.method)) {
    headers.push('Content-Length', String(caller.body.length));
  }
  return headers;
};

const findHeader = (
  headers: rawHeaders.RawHeaders,
  name: string,
): string | undefined => rawHeaders.findHeader(headers, name.toLowerCase());

const isBodiless = (method: string): boolean =>
  method === 'GET' || method === 'HEAD';
