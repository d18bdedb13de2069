/**
 * Errors sent to callers: OpenAI-style JSON with a code, whether the request
 * ran, and when to retry.
 */

/** Error code, as sent to callers and counted in metrics. */
export type ApiErrorCode =
  | 'invalid_request'
  | 'invalid_key'
  | 'invalid_session'
  | 'not_allowed'
  | 'model_not_found'
  | 'service_not_found'
  | 'idempotency_key_required'
  | 'idempotency_key_reused'
  | 'request_in_progress'
  | 'outcome_unknown'
  | 'over_capacity'
  | 'deadline_unreachable'
  | 'no_upstream'
  | 'upstream_failed'
  | 'not_ready'
  | 'shutting_down'
  | 'platform_out'
  | 'internal';

/** Whether the request ran; `not_run` only when this is certain. */
export type ExecutionStatus = 'not_run' | 'unknown' | 'ran';

/** A refusal or failure, as sent to the caller. */
export interface ApiError {
  readonly code: ApiErrorCode;
  readonly ran: ExecutionStatus;
  readonly message: string;
  /**
   * Time after which to retry, in milliseconds; absent if it would not help.
   */
  readonly retryAfterMs?: number;
}

const STATUS: Record<ApiErrorCode, number> = {
  invalid_request: 400,
  invalid_key: 401,
  invalid_session: 400,
  not_allowed: 403,
  model_not_found: 404,
  service_not_found: 404,
  idempotency_key_required: 400,
  idempotency_key_reused: 422,
  request_in_progress: 409,
  outcome_unknown: 409,
  over_capacity: 429,
  deadline_unreachable: 429,
  no_upstream: 503,
  upstream_failed: 502,
  not_ready: 503,
  shutting_down: 503,
  platform_out: 503,
  internal: 500,
};

/** HTTP status that belongs to the error's code. */
export const statusOf = (error: ApiError): number => STATUS[error.code];

/** JSON body of an error, in the format that OpenAI clients read. */
export const toErrorBody = (
  error: ApiError,
  requestId: string,
): {readonly error: Readonly<Record<string, unknown>>} => ({
  error: {
    message: error.message,
    type: statusOf(error) < 500 ? 'invalid_request_error' : 'server_error',
    param: null,
    code: error.code,
    ran: error.ran,
    request_id: requestId,
    ...(error.retryAfterMs === undefined
      ? {}
      : {retry_after_ms: Math.ceil(error.retryAfterMs)}),
  },
});

/** Value of `Retry-After`: whole seconds, at least one. */
export const formatRetryAfter = (retryAfterMs: number): string =>
  String(Math.max(1, Math.ceil(retryAfterMs / 1000)));

/**
 * Adds jitter to a retry time, in milliseconds: callers that are refused at the
 * same moment must not all retry at the same moment.
 */
export const jitterRetryAfter = (
  baseMs: number,
  random: () => number,
): number => baseMs * (0.5 + random());
