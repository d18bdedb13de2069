/**
 * Keeps each session on its versions, by its session token or by a session id
 * that the caller chose.
 */
import type * as hapi from '@hapi/hapi';
import * as purify from 'purify-ts';
import * as configuration from '@amaranthknot/configuration';
import type * as apiError from './api-error.js';
import type * as chatRunner from './chat-runner.js';
import type * as entryDependencies from './entry-dependencies.js';
import * as requestContext from './request-context.js';
import type * as resolvePlan from './resolve-plan.js';
import * as selectVersion from './select-version.js';
import * as sessionToken from './session-token.js';

/** Request and response header that carries a session token. */
export const TOKEN_HEADER = 'x-session-token';

/** Request header with a session id that the caller chose. */
export const SESSION_HEADER = 'x-session-id';

/** Maximum length of such a session id. */
const MAX_SESSION_ID = 256;

/** The session of one request. */
export interface RequestSession {
  readonly id: string;
  /** Whether the caller chose the id; its pins are then also stored. */
  readonly isCallerChosen: boolean;
  readonly pins: sessionToken.SessionPins;
}

const refuse = (
  message: string,
): purify.Either<apiError.ApiError, RequestSession> =>
  purify.Left({code: 'invalid_session', ran: 'not_run', message});

/** Lifetime of session tokens in seconds, from the document or the default. */
export const getTokenLifetimeS = (document: configuration.Document): number =>
  document.sessions === undefined
    ? sessionToken.DEFAULT_TOKEN_LIFETIME_S
    : Math.ceil(document.sessions.tokenMaxAgeMs / 1000);

/** Reads the session of a request; creates one if the request names none. */
export const readSession = (
  dependencies: entryDependencies.EntryDependencies,
  request: hapi.Request,
  workspace: string,
  tokenLifetimeS: number,
): purify.Either<apiError.ApiError, RequestSession> => {
  const token = requestContext.readHeader(request, TOKEN_HEADER);
  if (token !== undefined) {
    return sessionToken
      .verifySession(token, dependencies.sessionKey, workspace, tokenLifetimeS)
      .map(({id, pins}) => ({id, pins, isCallerChosen: false}))
      .mapLeft(problem => ({
        code: 'invalid_session',
        ran: 'not_run',
        message: `the session token is refused: ${problem}`,
      }));
  }
  const callerSessionId = requestContext.readHeader(request, SESSION_HEADER);
  if (
    callerSessionId !== undefined &&
    callerSessionId.length > MAX_SESSION_ID
  ) {
    return refuse(`a session id has at most ${MAX_SESSION_ID} characters`);
  }
  return callerSessionId === undefined
    ? purify.Right({id: dependencies.newId(), isCallerChosen: false, pins: {}})
    : purify.Right({id: callerSessionId, isCallerChosen: true, pins: {}});
};

/** Versions of a plan's stages, and the session's pins for the next token. */
export interface PlanVersions {
  readonly byModel: ReadonlyMap<string, string>;
  readonly pins: sessionToken.SessionPins;
}

/** Chooses the version of each stage before the request is admitted. */
export const chooseVersions = async (
  dependencies: entryDependencies.EntryDependencies,
  workspace: string,
  session: RequestSession,
  plan: resolvePlan.Plan,
): Promise<PlanVersions> => {
  const byModel = new Map<string, string>();
  const sessionKey = `${workspace}/${session.id}`;
  for (const {model, versions} of plan.stages) {
    const pinned = session.pins[model.name];
    const assigned = dependencies.assignVersion(model.name, sessionKey);
    const preferred = selectVersion.selectVersion({
      model,
      allowed: versions,
      ...(pinned === undefined ? {} : {pinned}),
      ...(assigned === undefined ? {} : {assigned}),
    });
    if (preferred === undefined) {
      continue;
    }
    const version = session.isCallerChosen
      ? await pinCallerSession(
          dependencies,
          workspace,
          session.id,
          {model, versions},
          preferred,
        )
      : preferred;
    byModel.set(model.name, version);
  }
  return {byModel, pins: {...session.pins, ...Object.fromEntries(byModel)}};
};

const pinCallerSession = async (
  dependencies: entryDependencies.EntryDependencies,
  workspace: string,
  sessionId: string,
  stage: resolvePlan.PlanStage,
  preferred: string,
): Promise<string> => {
  const {model, versions} = stage;
  const pinned = await dependencies.pinVersion(
    workspace,
    sessionId,
    model.name,
    preferred,
  );
  const kept = selectVersion.selectVersion({
    model,
    pinned,
    allowed: versions,
  });
  return kept ?? preferred;
};

/**
 * Checks the chosen version of a stage against the active configuration when
 * the stage starts.
 *
 * Otherwise a version that was withdrawn or forbidden while the request waited
 * for admission, or ran an earlier stage, would still get new work.
 *
 * @returns the version to use; undefined if no version may take the stage, or
 *   this instance has no active configuration
 */
export const confirmVersion = (
  activeConfiguration: entryDependencies.ActiveConfiguration | undefined,
  call: chatRunner.ChatCall,
  modelName: string,
  chosen: string | undefined,
): string | undefined => {
  const {document} = activeConfiguration ?? {};
  const model = document?.models.find(found => found.name === modelName);
  const workspace = document?.workspaces.find(
    found => found.name === call.workspace.name,
  );
  if (!document || !model || !workspace || chosen === undefined) {
    return undefined;
  }
  const cascade = document.cascades.find(
    found => found.name === call.plan.name,
  );
  const allowed = configuration.listAllowedVersions(
    workspace.allowed,
    model,
    cascade,
  );
  const [, named] = call.plan.name.split('@');
  return selectVersion.selectVersion({
    model,
    pinned: chosen,
    allowed: allowed.filter(name => named === undefined || name === named),
  });
};
