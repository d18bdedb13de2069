/**
 * Stand-in of a runner. Its answers have no length and end with their channel.
 * It writes to the record when it begins to run a request, and what it sent.
 *
 * Usage: runner.cjs PORT ID KIND RECORD
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as answers from './answers.js';

const [port = '', id = '', kindText, record = ''] = process.argv.slice(2);
const kind = answers.parseKind(kindText);

const log = (event: string, details: Record<string, unknown>): void => {
  const line = {
    at: Date.now(),
    event,
    runner: id,
    pid: process.pid,
    ...details,
  };
  fs.appendFileSync(record, `${JSON.stringify(line)}\n`);
};

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

const run = async (
  attempt: string,
  lastEventId: number,
  response: http.ServerResponse,
): Promise<void> => {
  log('run', {attempt, lastEventId});
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    'Content-Type': kind === 'stream' ? 'text/event-stream' : 'text/plain',
    'X-Attempt-Id': attempt,
    'X-Server-Seal': `seal.${id}.${attempt}`,
    Connection: 'close',
  });
  response.flushHeaders();
  for (const [index, piece] of answers.piecesOf(kind, attempt).entries()) {
    if (index < lastEventId) {
      continue;
    }
    await sleep(answers.PAUSE_MS[kind]);
    response.write(piece);
    log('sent_piece', {attempt, piece: index + 1});
  }
  response.end();
  log('sent_all', {attempt});
};

const header = (request: http.IncomingMessage, name: string): string => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
};

http
  .createServer((request, response) => {
    request.resume();
    request.once('end', () => {
      if (request.url === '/health') {
        response.writeHead(200, {'X-Instance-Id': id});
        response.end();
        return;
      }
      const attempt = header(request, 'x-attempt-id');
      if (header(request, 'x-expect-instance') !== id) {
        response.writeHead(421, {
          'X-Attempt-Id': attempt,
          'X-Not-Executed': '1',
        });
        response.end();
        return;
      }
      void run(attempt, Number(header(request, 'last-event-id')), response);
    });
  })
  .listen(Number(port), '127.0.0.1');
