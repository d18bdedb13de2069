/** Parses a caller's request. */
import type * as http from 'node:http';
import type * as headerNames from './header-names.js';
import * as rawHeaders from './raw-headers.js';

/** One part of a prompt; requests with a common prefix share its parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Sizes that a request to a model declares. */
export interface GenerationSize {
  readonly promptTokens: number;
  /** Maximum tokens of the answer. */
  readonly maxTokens: number;
  /** The caller's estimate of the answer's tokens, if it gave one. */
  readonly expectedTokens: number | undefined;
  readonly parts: readonly PromptPart[];
}

/** Fraction of `maxTokens` that an answer is assumed to take by default. */
const DEFAULT_ANSWER_FRACTION = 0.5;

/** Expected tokens of the answer. */
export const estimateAnswerTokens = ({
  maxTokens,
  expectedTokens,
}: GenerationSize): number =>
  Math.min(maxTokens, expectedTokens ?? DEFAULT_ANSWER_FRACTION * maxTokens);

/**
 * The parts of a prompt that other requests may share: the last one belongs to
 * the request or its session.
 */
export const findSharedParts = (
  generation: GenerationSize | undefined,
): readonly PromptPart[] => generation?.parts.slice(0, -1) ?? [];

/** Longest id of a part that is told apart, in characters. */
const MAX_PART_ID_LENGTH = 128;

/** Ids of the parts of a prompt that other requests may share, once each. */
export const findSharedPartIds = ({
  generation,
}: CallerRequest): readonly string[] => [
  ...new Set(
    findSharedParts(generation).map(({id}) => id.slice(0, MAX_PART_ID_LENGTH)),
  ),
];

/** A request as a caller sent it. */
export interface CallerRequest {
  /** Empty if the caller gave none. */
  readonly id: string;
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly target: string;
  readonly host: string;
  readonly headers: rawHeaders.RawHeaders;
  readonly body: Buffer;
  readonly apiKey: string | undefined;
  /** Time by which the caller stops waiting, by this instance's clock. */
  readonly deadlineMs: number;
  /** When the request's head was read, by this instance's clock. */
  readonly receivedAtMs: number;
  readonly session: string | undefined;
  /** Number of the last event that the caller already has. */
  readonly lastEventId: string | undefined;
  /** Present in requests to models. */
  readonly generation: GenerationSize | undefined;
}

/** Timeout assumed of a caller that does not state one, in milliseconds. */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;

const parsePromptParts = (text: string | undefined): readonly PromptPart[] =>
  (text ?? '').split(',').flatMap(entry => {
    const [id, tokens] = entry.trim().split(':');
    const count = Number(tokens);
    return id && Number.isFinite(count) ? [{id, tokens: count}] : [];
  });

const parseCount = (text: string | undefined): number | undefined => {
  const count = Number(text);
  return text !== undefined && Number.isFinite(count) ? count : undefined;
};

const parseGeneration = (
  counts: string | undefined,
  parts: string | undefined,
  hint: string | undefined,
): GenerationSize | undefined => {
  if (counts === undefined) {
    return undefined;
  }
  const [prompt, max] = counts.split(',').map(Number);
  return {
    promptTokens: Number.isFinite(prompt) ? (prompt ?? 0) : 0,
    maxTokens: Number.isFinite(max) ? (max ?? 0) : 0,
    expectedTokens: parseCount(hint),
    parts: parsePromptParts(parts),
  };
};

const parseTimeLeft = (text: string | undefined): number => {
  const wait = Number(text);
  return text !== undefined && Number.isFinite(wait) && wait >= 0
    ? wait
    : DEFAULT_CALLER_TIMEOUT_MS;
};

/** Creates a request from its head and, once it is read, its complete body. */
export const createCallerRequest = (
  message: http.IncomingMessage,
  body: Buffer,
  receivedAtMs: number,
  names: headerNames.HeaderNames,
): CallerRequest => {
  const {rawHeaders: headers} = message;
  const find = (name: string) =>
    rawHeaders.findHeader(headers, name.toLowerCase());
  return {
    id: find(names.requestId) ?? '',
    method: message.method ?? 'GET',
    target: message.url ?? '/',
    host: message.headers.host ?? '',
    headers,
    body,
    apiKey: find(names.apiKey),
    receivedAtMs,
    deadlineMs: receivedAtMs + parseTimeLeft(find(names.timeLeft)),
    session: find(names.session),
    lastEventId: find(names.lastEventId),
    generation: parseGeneration(
      find(names.tokenCounts),
      find(names.promptParts),
      find(names.lengthHint),
    ),
  };
};
