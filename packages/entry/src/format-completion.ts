/** Answers in the shapes that OpenAI clients read. */
import type * as chatRunner from './chat-runner.js';

/** What all chunks of one answer share. */
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

/** The body of a plain answer. */
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

/** One server-sent event. */
export const formatEvent = (data: unknown): string =>
  `data: ${JSON.stringify(data)}\n\n`;

/** End of a stream whose answer is whole; no other stream ends with it. */
export const END_OF_STREAM = 'data: [DONE]\n\n';

/** The event of one token. */
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

/** The events after the last token. */
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
