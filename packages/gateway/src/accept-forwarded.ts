/**
 * Accepts a request that another instance forwards. That instance has checked
 * its key and chosen its route, service and workspace, which hold here. Pure.
 */
import type * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as routing from '@amaranthknot/routing';
import type * as acceptRequest from './accept-request.js';
import type * as callerRequest from './caller-request.js';

/** `Retry-After` where this instance lacks what the request needs, in ms. */
const NOT_READY_RETRY_MS = 500;

const findWorkspace = (
  {workspaces}: routing.RoutingTable,
  name: string | undefined,
): routing.Workspace | undefined =>
  name === undefined
    ? undefined
    : [...(workspaces?.values() ?? [])].find(found => found.name === name);

/** What acceptance depends on. */
export interface ForwardAcceptance {
  readonly table: routing.RoutingTable | undefined;
  /** Whether this instance reaches no upstream of a service itself. */
  readonly isLost: (service: string) => boolean;
}

/**
 * Accepts a forwarded request.
 *
 * Guards against a request that is handled by an older configuration than the
 * one by which it was accepted, and against one that waits here for upstreams
 * that are out of reach too: it is refused, and sent to another instance.
 */
export const acceptForwarded = (
  caller: callerRequest.CallerRequest,
  forwarded: protocol.ForwardedRequest,
  {table, isLost}: ForwardAcceptance,
): acceptRequest.Acceptance => {
  const route = table?.routes.find(({name}) => name === forwarded.route);
  const service = table?.services.get(forwarded.service);
  const workspace = table && findWorkspace(table, forwarded.workspace);
  const isKnown =
    table !== undefined &&
    table.version >= forwarded.configuration &&
    !isLost(forwarded.service) &&
    (workspace !== undefined || forwarded.workspace === undefined);
  if (!isKnown || !route || !service) {
    return purify.Left({
      reason: 'not_ready',
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  const {attempts} = forwarded;
  return purify.Right({
    caller,
    route: {...route, maxAttempts: Math.min(route.maxAttempts, attempts)},
    service,
    workspace,
    deadlineMs: Math.min(
      caller.deadlineMs,
      caller.receivedAtMs + route.timeoutMs,
    ),
    configuration: table.version,
    forwarded,
  });
};
