/** What every caller request has: identity, workspace, and its cancellation. */
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
  /** Aborts when the caller goes away or the request's time is up. */
  readonly signal: AbortSignal;
}

/** Time until a caller is asked back when there is no configuration. */
const NOT_READY_RETRY_MS = 2_000;

/** The value of a header that must occur once. */
export const readHeader = (
  request: hapi.Request,
  name: string,
): string | undefined => {
  const value: unknown = request.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
};

/**
 * Aborts when the caller's connection closes before the answer's end, or when
 * the request's time is up. One timer, cleared at the answer's end: a signal
 * of `AbortSignal.timeout` and one that joins both would outlive each request
 * by two minutes, at 200 requests/s 48,000 of them.
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

/** Authenticates a caller's request against the configuration in force. */
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

/** Admits a request of a workspace at its priority and within its limits. */
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

/** Answers a request with an error. */
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
  // A caller's library must not repeat what may have run already.
  if (error.ran !== 'not_run') {
    response.header('x-should-retry', 'false');
  }
  return response;
};
