/**
 * Steps of a chat request before admission, from authentication to versions.
 */
import type * as hapi from '@hapi/hapi';
import type * as purify from 'purify-ts';
import * as ledger from '@amaranthknot/ledger';
import type * as apiError from './api-error.js';
import * as chatRequest from './chat-request.js';
import type * as chatRunner from './chat-runner.js';
import * as chatSessions from './chat-sessions.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as requestContext from './request-context.js';
import * as resolvePlan from './resolve-plan.js';

/** A chat request that is ready for admission. */
export interface PreparedChat {
  readonly context: requestContext.RequestContext;
  readonly call: chatRunner.ChatCall;
  readonly versions: chatSessions.PlanVersions;
  readonly session: chatSessions.RequestSession;
  readonly identity: ledger.RequestIdentity;
}

type Preparation = purify.Either<apiError.ApiError, PreparedChat>;

/**
 * Authenticates and parses a request, resolves its plan and session, and
 * chooses its versions. Refuses at once while no bills may be accepted.
 */
export const prepareChat = async (
  dependencies: entryDependencies.EntryDependencies,
  request: hapi.Request,
): Promise<Preparation> => {
  const text = Buffer.isBuffer(request.payload)
    ? request.payload.toString('utf8')
    : '';
  const accepted = dependencies.bills
    .mayAccept()
    .mapLeft((refusal): apiError.ApiError => ({
      code: 'platform_out',
      ran: 'not_run',
      message: 'bills cannot be kept safe now',
      retryAfterMs: refusal.retryAfterMs,
    }));
  const resolved = accepted
    .chain(() => requestContext.createContext(dependencies, request))
    .chain(context =>
      chatRequest.parseChatRequest(text).chain(body => {
        const {document} = context.activeConfiguration;
        return resolvePlan
          .resolvePlan(document, context.workspace, body.model)
          .chain(plan =>
            chatSessions
              .readSession(
                dependencies,
                request,
                context.workspace.name,
                chatSessions.getTokenLifetimeS(document),
              )
              .map(session => ({context, body, plan, session})),
          );
      }),
    );
  if (resolved.isLeft()) {
    return resolved;
  }
  const {context, body, plan, session} = resolved.unsafeCoerce();
  const {requestId, workspace} = context;
  const versions = await chatSessions.chooseVersions(
    dependencies,
    workspace.name,
    session,
    plan,
  );
  const key = requestContext.readHeader(request, 'idempotency-key');
  const identity = ledger.identifyRequest(workspace.name, key, requestId);
  const affinityKey = `${workspace.name}/${session.id}`;
  const call = {requestId, workspace, plan, request: body, affinityKey};
  dependencies.events.record('request_received', {
    request: requestId,
    workspace: workspace.name,
    detail: plan.name,
  });
  return resolved.map(() => ({context, call, versions, session, identity}));
};
