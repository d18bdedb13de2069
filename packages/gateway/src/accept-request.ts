/** Decides whether a request may run at all. Pure. */
import * as purify from 'purify-ts';
import * as routing from '@amaranthknot/routing';
import type * as callerRequest from './caller-request.js';
import type * as runContext from './run-context.js';
import type * as refusals from './refusal.js';

/** The configuration in force as this instance knows it. */
export interface ActiveTable {
  readonly table: routing.RoutingTable;
  /** Time since it was last confirmed to be the newest, in milliseconds. */
  readonly ageMs: number;
}

/** Ages beyond which the configuration may not be relied on, in ms. */
export interface TableAgeLimits {
  /** For requests with a key: it may have been revoked since. */
  readonly keyChecksMs: number;
  /** For saying that a route or key does not exist: it may be new. */
  readonly denialsMs: number;
}

/** When to come back while the configuration is not known, in ms. */
const NOT_READY_RETRY_MS = 500;

const NOT_READY: refusals.Refusal = {
  reason: 'not_ready',
  retryAfterMs: NOT_READY_RETRY_MS,
};

/** An accepted request, or why it is refused. */
export type Acceptance = purify.Either<
  refusals.Refusal,
  runContext.AcceptedRequest
>;

/** Draws a route's service by weight. */
const chooseService = (
  targets: readonly routing.RouteTarget[],
  random: () => number,
): string | undefined => {
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = random() * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) {
      return target.service;
    }
  }
  return targets.at(-1)?.service;
};

/** Accepts a request by the configuration in force, or says why not. */
export const acceptRequest = (
  caller: callerRequest.CallerRequest,
  activeTable: ActiveTable | undefined,
  ageLimits: TableAgeLimits,
  random: () => number,
): Acceptance => {
  if (!activeTable) {
    return purify.Left(NOT_READY);
  }
  const {table, ageMs} = activeTable;
  // A route or key that is missing here may have come with a configuration
  // that this instance has not seen: denied, its caller would not return.
  const deny = (reason: refusals.RefusalReason): Acceptance =>
    purify.Left(ageMs > ageLimits.denialsMs ? NOT_READY : {reason});
  if (caller.body.length > table.limits.bodyBytes) {
    return purify.Left({reason: 'too_large'});
  }
  const path = caller.target.split('?', 1)[0] ?? '';
  const route = routing.findRoute(table, caller.host, path);
  if (!route) {
    return deny('unknown_route');
  }
  const needsKey = table.workspaces !== undefined && !route.isPublic;
  // Cut off, this instance would not hear that a key was taken away.
  if (needsKey && ageMs > ageLimits.keyChecksMs) {
    return purify.Left(NOT_READY);
  }
  const workspace = needsKey
    ? table.workspaces.get(caller.apiKey ?? '')
    : undefined;
  if (needsKey && !workspace) {
    return deny('unknown_key');
  }
  const name = chooseService(route.targets, random);
  const service = name === undefined ? undefined : table.services.get(name);
  if (!service) {
    return purify.Left({reason: 'no_upstream', retryAfterMs: 500});
  }
  const deadlineMs = Math.min(
    caller.deadlineMs,
    caller.receivedAtMs + route.timeoutMs,
  );
  return purify.Right({caller, route, service, workspace, deadlineMs});
};
