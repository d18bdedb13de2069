/**
 * Decides from the active configuration whether a request may run. Pure.
 *
 * Guards against decisions by a configuration that is out of date: a revoked
 * key that is still accepted, a new route or key that is denied.
 */
import * as purify from 'purify-ts';
import * as routing from '@amaranthknot/routing';
import type * as callerRequest from './caller-request.js';
import type * as runContext from './run-context.js';
import type * as refusals from './refusal.js';

/** The active routing table as this instance knows it. */
export interface ActiveTable {
  readonly table: routing.RoutingTable;
  /** Time since it was last confirmed as the newest, in milliseconds. */
  readonly ageMs: number;
}

/** Ages beyond which the table is not relied on, in milliseconds. */
export interface TableAgeLimits {
  /** For requests with an API key, which may have been revoked since. */
  readonly keyChecksMs: number;
  /** For denying an unknown route or key, which may have been added since. */
  readonly denialsMs: number;
}

/** `Retry-After` while the configuration is unknown or too old, in ms. */
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

/** Chooses one of a route's services at random, by weight. */
const chooseService = (
  targets: readonly routing.RouteTarget[],
  random: () => number,
): string | undefined => {
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random() * total;
  for (const target of targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return targets.at(-1)?.service;
};

/** What the head of a request says, by the active configuration. */
interface AcceptedHead extends ActiveTable {
  readonly route: routing.Route;
  readonly workspace: routing.Workspace | undefined;
}

/** Accepts the head of a request or refuses the request. */
const acceptHead = (
  caller: callerRequest.CallerRequest,
  activeTable: ActiveTable | undefined,
  ageLimits: TableAgeLimits,
): purify.Either<refusals.Refusal, AcceptedHead> => {
  if (!activeTable) {
    return purify.Left(NOT_READY);
  }
  const {table, ageMs} = activeTable;
  // A newer configuration may have added the route or key. Callers do not
  // retry after a denial, so an old table answers `not_ready` instead.
  const deny = (
    reason: refusals.RefusalReason,
  ): purify.Either<refusals.Refusal, AcceptedHead> =>
    purify.Left(ageMs > ageLimits.denialsMs ? NOT_READY : {reason});
  const path = caller.target.split('?', 1)[0] ?? '';
  const route = routing.findRoute(table, caller.host, path);
  if (!route) {
    return deny('unknown_route');
  }
  const needsKey = table.workspaces !== undefined && !route.isPublic;
  // An instance that is cut off does not learn that a key was revoked.
  if (needsKey && ageMs > ageLimits.keyChecksMs) {
    return purify.Left(NOT_READY);
  }
  const workspace = needsKey
    ? table.workspaces.get(caller.apiKey ?? '')
    : undefined;
  return needsKey && !workspace
    ? deny('unknown_key')
    : purify.Right({table, ageMs, route, workspace});
};

/**
 * Why a request is denied whatever its body is; undefined if it is not, or if a
 * newer configuration may say otherwise.
 *
 * Guards against callers without a key who fill the memory with bodies.
 */
export const findHeadDenial = (
  caller: callerRequest.CallerRequest,
  activeTable: ActiveTable | undefined,
  ageLimits: TableAgeLimits,
): refusals.Refusal | undefined =>
  acceptHead(caller, activeTable, ageLimits).caseOf<
    refusals.Refusal | undefined
  >({
    Left: refusal => (refusal.reason === 'not_ready' ? undefined : refusal),
    Right: () => undefined,
  });

/**
 * Accepts a request or refuses it, by the active configuration.
 *
 * @param random returns a number from 0 up to, but not including, 1.
 */
export const acceptRequest = (
  caller: callerRequest.CallerRequest,
  activeTable: ActiveTable | undefined,
  ageLimits: TableAgeLimits,
  random: () => number,
): Acceptance => {
  const isTooLarge =
    activeTable !== undefined &&
    caller.body.length > activeTable.table.limits.bodyBytes;
  if (isTooLarge) {
    return purify.Left({reason: 'too_large'});
  }
  return acceptHead(caller, activeTable, ageLimits).chain(
    ({table, ageMs, route, workspace}): Acceptance => {
      const name = chooseService(route.targets, random);
      const service = name === undefined ? undefined : table.services.get(name);
      if (!service) {
        return purify.Left({reason: 'no_upstream', retryAfterMs: 500});
      }
      const deadlineMs = Math.min(
        caller.deadlineMs,
        caller.receivedAtMs + route.timeoutMs,
      );
      return purify.Right({
        caller,
        route,
        service,
        workspace,
        deadlineMs,
        configuration: table.version,
        configurationAgeMs: ageMs,
      });
    },
  );
};
