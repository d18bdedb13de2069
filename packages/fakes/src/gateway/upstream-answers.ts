/** Formats the answers of scripted upstreams as HTTP/1.1 text. */
import * as platform from '@amaranthknot/platform';
import type * as requestParser from './request-parser.js';

/** Status and headers of an answer. */
export interface AnswerOptions {
  readonly status?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Request id of the answer; that of the request by default. */
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

/** A complete answer with a Content-Length. */
export const formatAnswer = (
  request: requestParser.ParsedRequest,
  body: string,
  options: AnswerOptions = {},
): string =>
  formatHead(request, options, {'Content-Length': String(body.length)}) + body;

/** The head of an event stream with chunked encoding. */
export const formatStreamHead = (
  request: requestParser.ParsedRequest,
  options: AnswerOptions = {},
): string =>
  formatHead(request, options, {
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
  });

/** The head of an answer without a length; closing the connection ends it. */
export const formatUnframedHead = (
  request: requestParser.ParsedRequest,
  options: AnswerOptions = {},
): string => formatHead(request, options, {Connection: 'close'});

/** One chunk of a chunked body; ASCII text only. */
export const formatChunk = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

/** The end of a chunked body. */
export const LAST_CHUNK = '0\r\n\r\n';

/** One server-sent event with an id. */
export const formatEvent = (id: number, text = `piece ${id}`): string =>
  `id: ${id}\ndata: ${text}\n\n`;

/** An empty answer with the header that says that the request did not run. */
export const formatNotRun = (
  request: requestParser.ParsedRequest,
  status = 503,
): string =>
  formatAnswer(request, '', {status, headers: {[NAMES.notRun]: '1'}});
