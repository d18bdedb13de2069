/** Accepts requests of callers, and those that other instances forward. */
import type * as http from 'node:http';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as telemetry from '@amaranthknot/telemetry';
import * as acceptForwarded from './accept-forwarded.js';
import * as acceptRequest from './accept-request.js';
import type * as callerRequest from './caller-request.js';
import type * as notice from './notice.js';
import * as rawHeaders from './raw-headers.js';
import type * as refusals from './refusal.js';
import type * as runContext from './run-context.js';

/** What the acceptance of requests needs. */
export interface AcceptanceDependencies extends Pick<
  runContext.RunDependencies,
  'links' | 'random'
> {
  readonly log: telemetry.DecisionLog;
  readonly activeTable: () => acceptRequest.ActiveTable | undefined;
  /** Resolves when the configuration is confirmed, or cannot be for now. */
  readonly refreshTable: () => Promise<void>;
  readonly tableAgeLimits: acceptRequest.TableAgeLimits;
  /** Whether this instance takes another request that is forwarded to it. */
  readonly hasRoomForForwarded: () => boolean;
}

/** How requests from one direction are accepted or refused. */
export interface RequestAcceptance {
  /** Why a request is denied whatever its body is; undefined if it is not. */
  readonly findDenial: (
    head: callerRequest.CallerRequest,
  ) => refusals.Refusal | undefined;
  readonly accept: (
    caller: callerRequest.CallerRequest,
    message: http.IncomingMessage,
  ) => Promise<acceptRequest.Acceptance>;
}

/**
 * `Retry-After` where this instance is too busy for forwarded requests, or holds
 * too many bytes, in milliseconds: the time over which its load is averaged.
 */
export const OVERLOADED_RETRY_MS = 1_000;

/**
 * The acceptance of callers' requests, after a refresh if the configuration is
 * too old.
 *
 * @param closing given once the instance closes its connections.
 */
export const createCallerAcceptance = (
  {activeTable, tableAgeLimits, random, refreshTable}: AcceptanceDependencies,
  closing: notice.Notice,
): RequestAcceptance => ({
  findDenial: head =>
    acceptRequest.findHeadDenial(head, activeTable(), tableAgeLimits),
  accept: async caller => {
    const accept = () =>
      acceptRequest.acceptRequest(
        caller,
        activeTable(),
        tableAgeLimits,
        random,
      );
    const first = accept();
    const isTooOld = first.isLeft() && first.extract().reason === 'not_ready';
    if (!isTooOld) {
      return first;
    }
    await closing.race(refreshTable());
    return accept();
  },
});

/** The acceptance of requests that other instances accepted before. */
export const createForwardedAcceptance = ({
  hasRoomForForwarded,
  activeTable,
  links,
  log,
}: AcceptanceDependencies): RequestAcceptance => ({
  findDenial: () => undefined,
  accept: (caller, message) => {
    if (!hasRoomForForwarded()) {
      const refusal: refusals.Refusal = {
        reason: 'overloaded',
        retryAfterMs: OVERLOADED_RETRY_MS,
      };
      return Promise.resolve(purify.Left(refusal));
    }
    const value = rawHeaders.findHeader(
      message.rawHeaders,
      protocol.FORWARD_HEADERS.request.toLowerCase(),
    );
    const accepted = protocol
      .decodeForwardedRequest(value ?? '')
      .mapLeft((reason): refusals.Refusal => {
        log.warn('peer_message_refused', {reason, code: 'forwarded_request'});
        return {reason: 'malformed'};
      })
      .chain(forwarded =>
        acceptForwarded.acceptForwarded(caller, forwarded, {
          table: activeTable()?.table,
          isLost: links.isLost,
        }),
      );
    return Promise.resolve(accepted);
  },
});
