/** Parses the body of a chat completion request. */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as apiError from './api-error.js';

/** Maximum messages per request; callers must merge a longer history. */
const MAX_MESSAGES = 1_000;

const MESSAGE = zod.looseObject({
  role: zod.string().max(32),
  content: zod.unknown(),
});

const CHAT_REQUEST = zod.looseObject({
  model: zod.string().max(256).default(''),
  messages: zod.array(MESSAGE).min(1).max(MAX_MESSAGES),
  stream: zod.boolean().nullish(),
  max_tokens: zod.number().int().positive().nullish(),
  max_completion_tokens: zod.number().int().positive().nullish(),
  stream_options: zod
    .looseObject({include_usage: zod.boolean().nullish()})
    .nullish(),
  metadata: zod.record(zod.string(), zod.string()).nullish(),
});

/** A parsed chat completion request. */
export interface ChatRequest {
  readonly model: string;
  readonly messages: readonly unknown[];
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly maxTokens?: number;
  /** Kind of task, from `metadata.task`; cascades learn per task. */
  readonly task: string;
}

/** Task of requests without `metadata.task`. */
export const DEFAULT_TASK = 'general';

/** Maximum length of a task name; bounds the memory of what cascades learn. */
const MAX_TASK_LENGTH = 64;

const describeIssue = (issue: zod.core.$ZodIssue): string => {
  const path = issue.path.map(String).join('.');
  return path === '' ? issue.message : `${path}: ${issue.message}`;
};

/** Parses and validates JSON; Left names each invalid field. */
export const parseChatRequest = (
  text: string,
): purify.Either<apiError.ApiError, ChatRequest> => {
  const invalid = (message: string) =>
    purify.Left<apiError.ApiError>({
      code: 'invalid_request',
      ran: 'not_run',
      message,
    });
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return invalid('the body is not JSON');
  }
  const parsed = CHAT_REQUEST.safeParse(json);
  if (!parsed.success) {
    return invalid(parsed.error.issues.map(describeIssue).join('; '));
  }
  const body = parsed.data;
  const maxTokens = body.max_completion_tokens ?? body.max_tokens;
  return purify.Right({
    model: body.model,
    messages: body.messages,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
    task: (body.metadata?.['task'] ?? DEFAULT_TASK).slice(0, MAX_TASK_LENGTH),
    ...(maxTokens ? {maxTokens} : {}),
  });
};
