/**
 * Context of a caller's request: id, workspace, configuration, cancellation.
 */
import type * as hapi from '@hapi/hapi';
import * as purify from 'purify-ts';
import type * as configuration from '@amaranthknot/configuration';
import * as apiError from './api-error.js';
import * as authenticate from './authenticate.js';
import type * as entryDependencies from './entry-dependencies.js';

/** An authenticated request. */
export interface RequestContext {
  readonly requestId: string;
  readonly workspace: configuration.Workspace;
  readonly activeConfiguration: entryDependencies.ActiveConfiguration;
  /** Aborts when the caller disconnects or the request times out. */
  readonly signal: AbortSignal;
}

/** Mean retry time while there is no active configuration, in milliseconds. */
const NOT_READY_RETRY_MS = 2_000;

/** Value of a header; undefined if it is absent or empty. */
export const readHeader = (
  request: hapi.Request,
  name: string,
): string | undefined => {
  const value: unknown = request.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
};

/**
 * Creates a signal that aborts when the connection closes before the end of the
 * answer, or after `timeoutMs`. It uses one timer, cleared at the end of the
 * answer: `AbortSignal.timeout` and a signal that combines both would outlive
 * each request by two minutes, which is 48,000 signals at 200 requests/s.
 */
export const createCancellationSignal = (
  request: hapi.Request,
  timeoutMs: number,
): AbortSignal => {
  const ended = new AbortController();
  const {res} = request.raw;
  const timer = setTimeout(() => ended.abort(), timeoutMs);
  res.once('close', () => {
    clearTimeout(timer);
    if (!res.writableFinished) {
      ended.abort();
    }
  });
  return ended.signal;
};

/** Authenticates a caller's request by the active configuration. */
export const createContext = (
  dependencies: entryDependencies.EntryDependencies,
  request: hapi.Request,
): purify.Either<apiError.ApiError, RequestContext> => {
  const activeConfiguration = dependencies.activeConfiguration();
  if (!activeConfiguration) {
    return purify.Left({
      code: 'not_ready',
      ran: 'not_run',
      message: 'no confirmed configuration is in force here',
      retryAfterMs: apiError.jitterRetryAfter(
        NOT_READY_RETRY_MS,
        dependencies.random,
      ),
    });
  }
  const header = readHeader(request, 'authorization');
  const key = authenticate.readBearerKey(header);
  const workspace = key
    ? authenticate.findWorkspace(activeConfiguration.document, key)
    : undefined;
  if (!workspace) {
    return purify.Left({
      code: 'invalid_key',
      ran: 'not_run',
      message: 'no workspace has this key',
    });
  }
  return purify.Right({
    requestId: dependencies.newId(),
    workspace,
    activeConfiguration,
    signal: createCancellationSignal(
      request,
      dependencies.limits.requestTimeoutMs,
    ),
  });
};

/** Waits for admission at the workspace's priority and within its limits. */
export const admit = (
  dependencies: entryDependencies.EntryDependencies,
  context: RequestContext,
): Promise<purify.Either<apiError.ApiError, () => void>> => {
  const {workspace} = context;
  const now = dependencies.clock.now();
  return dependencies.admission.admit(
    {
      id: context.requestId,
      workspace: workspace.name,
      priority: workspace.priority,
      weight: workspace.weight,
      deadlineMs: now + dependencies.limits.requestTimeoutMs,
      maxWaitMs: workspace.limits.maxWaitMs,
      maxConcurrent: workspace.limits.maxConcurrent,
      maxQueued: workspace.limits.maxQueued,
    },
    context.signal,
  );
};

/** Answers with an error and its headers. */
export const replyError = (
  h: hapi.ResponseToolkit,
  error: apiError.ApiError,
  requestId: string,
): hapi.ResponseObject => {
  const response = h
    .response(apiError.toErrorBody(error, requestId))
    .code(apiError.statusOf(error))
    .header('x-request-id', requestId);
  if (error.retryAfterMs !== undefined) {
    response.header(
      'retry-after',
      apiError.formatRetryAfter(error.retryAfterMs),
    );
  }
  // Client libraries must not retry a request that may have run.
  if (error.ran !== 'not_run') {
    response.header('x-should-retry', 'false');
  }
  return response;
};
