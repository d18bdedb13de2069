/** Headers of the request that goes to an upstream. */
import * as decisions from '@amaranthknot/decisions';
import type * as runContext from './run-context.js';
import type * as headerNames from './header-names.js';
import * as rawHeaders from './raw-headers.js';

/** What this instance sets for one try. */
export interface AttemptHeaders {
  readonly upstreamId: string;
  readonly timeLeftMs: number;
  readonly model: string | undefined;
  /** Number of the last event that the caller has. */
  readonly lastEventId: string | undefined;
}

/** Lower-case names of headers that are never handed on as they came. */
const findReplaced = (
  headerConventions: headerNames.HeaderConventions,
): ReadonlySet<string> => {
  const {headers, instanceOnlyHeaders} = headerConventions;
  const names = [
    ...instanceOnlyHeaders,
    headers.timeLeft,
    headers.apiKey,
    headers.model,
    headers.lastEventId,
    'content-length',
    'expect',
  ];
  return new Set(names.map(name => name.toLowerCase()));
};

const replacedBy = new WeakMap<
  headerNames.HeaderConventions,
  ReadonlySet<string>
>();

const replacedOf = (
  headerConventions: headerNames.HeaderConventions,
): ReadonlySet<string> => {
  const known =
    replacedBy.get(headerConventions) ?? findReplaced(headerConventions);
  replacedBy.set(headerConventions, known);
  return known;
};

/** Puts together the headers of one try. */
export const createUpstreamHeaders = (
  request: runContext.AcceptedRequest,
  attempt: AttemptHeaders,
  headerConventions: headerNames.HeaderConventions,
): rawHeaders.RawHeaders => {
  const {caller, workspace} = request;
  const {headers: names} = headerConventions;
  const headers = rawHeaders.keepEndToEnd(
    caller.headers,
    replacedOf(headerConventions),
  );
  headers.push(names.expectedUpstream, attempt.upstreamId);
  headers.push(names.timeLeft, String(Math.floor(attempt.timeLeftMs)));
  if (caller.generation) {
    const rank = decisions.findPrefillPriority(caller.generation.promptTokens);
    headers.push(names.priority, String(rank));
  }
  if (workspace) {
    headers.push(names.workspace, workspace.name);
  }
  const model = attempt.model ?? findOwn(caller.headers, names.model);
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

const findOwn = (
  headers: rawHeaders.RawHeaders,
  name: string,
): string | undefined => rawHeaders.findHeader(headers, name.toLowerCase());

const isBodiless = (method: string): boolean =>
  method === 'GET' || method === 'HEAD';
