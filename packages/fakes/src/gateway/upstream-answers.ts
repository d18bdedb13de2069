/** Answers of scripted upstreams, as bytes. */
import * as platform from '@amaranthknot/platform';
import type * as requestParser from './request-parser.js';

/** What an answer says beyond its body. */
export interface AnswerOptions {
  readonly status?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Identity that the answer bears; the request's own by default. */
  readonly requestId?: string;
}

const NAMES = platform.HEADER_NAMES;

const REQUEST_ID = NAMES.requestId.toLowerCase();

const formatHead = (
  request: requestParser.ParsedRequest,
  options: AnswerOptions,
  framing: Readonly<Record<string, string>>,
): string => {
  const headers = {
    [NAMES.requestId]: options.requestId ?? request.headers[REQUEST_ID] ?? '',
    [NAMES.receipt]: 'seal',
    ...options.headers,
    ...framing,
  };
  const lines = Object.entries(headers).map(([name, value]) =>
    value === '' ? '' : `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${options.status ?? 200} Said\r\n${lines.join('')}\r\n`;
};

/** A whole answer with a length. */
export const formatAnswer = (
  request: requestParser.ParsedRequest,
  body: string,
  options: AnswerOptions = {},
): string =>
  formatHead(request, options, {'Content-Length': String(body.length)}) + body;

/** The head of an answer whose body comes in chunks. */
export const formatStreamHead = (
  request: requestParser.ParsedRequest,
  options: AnswerOptions = {},
): string =>
  formatHead(request, options, {
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
  });

/** The head of an answer without a length, which ends with its connection. */
export const formatUnframedHead = (
  request: requestParser.ParsedRequest,
  options: AnswerOptions = {},
): string => formatHead(request, options, {Connection: 'close'});

/** One chunk. */
export const formatChunk = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

/** The end of a body in chunks. */
export const LAST_CHUNK = '0\r\n\r\n';

/** One numbered event. */
export const formatEvent = (id: number, text = `piece ${id}`): string =>
  `id: ${id}\ndata: ${text}\n\n`;

/** An answer that says that the request did not run. */
export const formatNotRun = (
  request: requestParser.ParsedRequest,
  status = 503,
): string =>
  formatAnswer(request, '', {status, headers: {[NAMES.notRun]: '1'}});
