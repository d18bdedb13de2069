/** Sends one request on an open connection and waits for its end. */
import type * as net from 'node:net';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as answerParser from './answer-parser.js';
import type * as requestRecord from './request-record.js';

/** Time that a request is given, announced in its header, in milliseconds. */
export const REQUEST_TIMEOUT_MS = 6_000;

/** Time after which a caller takes a request for unanswered, in ms. */
const SILENT_MS = 8_000;

/** Just under the most that the configuration allows, in bytes. */
const LARGE_BYTES = 990_000;

const LARGE_BODY = 'x'.repeat(LARGE_BYTES);

const PATHS: Readonly<Record<requestRecord.WorkKind, string>> = {
  read: '/read/1',
  book: '/book/1',
  stream: '/stream/1',
  large: '/book/1',
};

const formatRequest = (id: string, kind: requestRecord.WorkKind, key: string) =>
  [
    `${kind === 'read' ? 'GET' : 'POST'} ${PATHS[kind]} HTTP/1.1`,
    'Host: svc.example',
    `${platform.HEADER_NAMES.requestId}: ${id}`,
    `${platform.HEADER_NAMES.timeLeft}: ${REQUEST_TIMEOUT_MS}`,
    `${platform.HEADER_NAMES.apiKey}: ${key}`,
    `Content-Length: ${kind === 'large' ? LARGE_BYTES : 0}`,
    `\r\n${kind === 'large' ? LARGE_BODY : ''}`,
  ].join('\r\n');

/** What a request and its connection are. */
export interface RequestOptions extends Pick<
  requestRecord.RequestRecord,
  'id' | 'kind' | 'life'
> {
  readonly socket: net.Socket;
  readonly key: string;
}

/** Resolves when the answer is whole, the connection closed, or time is over. */
export const sendRequest = ({
  id,
  kind,
  life,
  socket,
  key,
}: RequestOptions): Promise<requestRecord.RequestRecord> =>
  new Promise(resolve => {
    const parser = new answerParser.AnswerParser();
    let writtenAtMs: number | undefined;
    const finish = (
      outcome: requestRecord.RequestOutcome,
      answer?: answerParser.Answer,
    ) => {
      clearTimeout(timer);
      socket.off('data', read).off('end', end).off('close', close);
      const endedAtMs = ports.systemClock.now();
      resolve({id, kind, life, writtenAtMs, endedAtMs, outcome, answer});
    };
    const read = (chunk: Buffer) => {
      const answer = parser.push(chunk);
      if (answer) {
        finish('whole', answer);
      }
    };
    const close = () => {
      finish('closed');
    };
    const end = () => {
      const answer = parser.end();
      finish(answer ? 'whole' : 'closed', answer);
    };
    const timer = setTimeout(() => {
      finish('silent');
      socket.destroy();
    }, SILENT_MS);
    socket.on('data', read).once('end', end).once('close', close);
    socket.write(formatRequest(id, kind, key), error => {
      writtenAtMs = error ? undefined : ports.systemClock.now();
    });
  });
