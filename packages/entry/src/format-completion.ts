/** Formats answers, plain and streamed, as OpenAI clients read them. */
import type * as chatRunner from './chat-runner.js';

/** Fields that all chunks of one answer share. */
export interface CompletionIdentity {
  readonly requestId: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

const modelOf = (source: {model: string; version: string}): string =>
  `${source.model}@${source.version}`;

const usageOf = (answer: chatRunner.ChatAnswer) => ({
  prompt_tokens: 0,
  completion_tokens: answer.tokens,
  total_tokens: answer.tokens,
});

/** Body of an answer that is not streamed. */
export const formatCompletion = (
  identity: CompletionIdentity,
  answer: chatRunner.ChatAnswer,
  text: string,
): object => ({
  id: identity.requestId,
  object: 'chat.completion',
  created: identity.created,
  model: modelOf(answer),
  choices: [
    {
      index: 0,
      message: {role: 'assistant', content: text, refusal: null},
      logprobs: null,
      finish_reason: answer.finishReason,
    },
  ],
  usage: usageOf(answer),
});

/** Formats one server-sent event. */
export const formatEvent = (data: unknown): string =>
  `data: ${JSON.stringify(data)}\n\n`;

/** Last event of a complete answer; incomplete streams end without it. */
export const END_OF_STREAM = 'data: [DONE]\n\n';

/** Event of one token; the first one also carries the role. */
export const formatToken = (
  identity: CompletionIdentity,
  token: {model: string; version: string; text: string},
  isFirst: boolean,
): string =>
  formatEvent({
    id: identity.requestId,
    object: 'chat.completion.chunk',
    created: identity.created,
    model: modelOf(token),
    choices: [
      {
        index: 0,
        delta: isFirst
          ? {role: 'assistant', content: token.text}
          : {content: token.text},
        finish_reason: null,
      },
    ],
  });

/** Events after the last token: finish reason, usage if asked for, `[DONE]`. */
export const formatEnd = (
  identity: CompletionIdentity,
  answer: chatRunner.ChatAnswer,
  includeUsage: boolean,
): string => {
  const base = {
    id: identity.requestId,
    object: 'chat.completion.chunk',
    created: identity.created,
    model: modelOf(answer),
  };
  const choice = {index: 0, delta: {}, finish_reason: answer.finishReason};
  const end = formatEvent({...base, choices: [choice]});
  const usage = includeUsage
    ? formatEvent({...base, choices: [], usage: usageOf(answer)})
    : '';
  return end + usage + END_OF_STREAM;
};
