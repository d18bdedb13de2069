/**
 * Stand-in for one runner of the users' platform, as a process of its own:
 *
 *     runner ID PORT [BEHAVIOUR]
 *
 * It speaks what the users' page on runners says, and writes a JSON line for its
 * start, each run and each end of a run to its standard output. BEHAVIOUR is a
 * JSON object of the type `Behaviour`; without it, the runner is sound.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as requestParser from '../../packages/fakes/src/gateway/request-parser.js';

/** What the runner does beside serving soundly. */
interface Behaviour {
  /** Streams have neither a length nor chunks and end with their channel. */
  readonly unframed?: boolean;
  /** Time by which each answer is late in the first seconds, in milliseconds. */
  readonly slowMs?: number;
  /** How the body of a harmed answer goes on without end. */
  readonly harm?: Harm;
}

/** Answers whose body has no end. */
interface Harm {
  /** Which answers are harmed, by the begin of the path. */
  readonly path: string;
  /** Head of a harmed answer: a success, or a refusal that says `not run`. */
  readonly head: 'success' | 'refusal';
  /** Time after the start from which answers are harmed, in milliseconds. */
  readonly afterMs: number;
  /** Number of harmed answers. */
  readonly answers: number;
  /** Bytes of body in each chunk. */
  readonly chunkBytes: number;
  /** Bytes a second on one channel, with the sizes of the chunks. */
  readonly bytesPerS: number;
}

/** Events of one stream, and the time between two, in milliseconds. */
const EVENTS = 40;
const EVENT_INTERVAL_MS = 50;

/** Time in which a plain request runs, in milliseconds. */
const WORK_MS = 30;

/** Bytes of a plain answer, as the sheet of the small site has them. */
const PLAIN_BYTES = 800;

/** Time for which a runner that has just started is slow, in milliseconds. */
const SLOW_FOR_MS = 3_000;

/** Bytes that are written at a time to an answer without end. */
const WRITE_BYTES = 256 * 1024;

const [id = '', portText = '', behaviourText = '{}'] = process.argv.slice(2);
const behaviour = JSON.parse(behaviourText) as Behaviour;
const startedAtMs = performance.now();
let harmedAnswers = 0;

/** Written at once, so that no line is lost when the process is killed. */
const record = (details: object): void => {
  fs.writeSync(1, `${JSON.stringify({atMs: Date.now(), id, ...details})}\n`);
};

const mayHarm = (path: string): Harm | undefined => {
  const {harm} = behaviour;
  return harm &&
    path.startsWith(harm.path) &&
    performance.now() - startedAtMs >= harm.afterMs &&
    harmedAnswers < harm.answers
    ? harm
    : undefined;
};

const formatHead = (
  status: string,
  attempt: string,
  lines: readonly string[],
): string =>
  [`HTTP/1.1 ${status}`, `X-Attempt-Id: ${attempt}`, ...lines, '', ''].join(
    '\r\n',
  );

const sealLine = `X-Server-Seal: seal-${id}`;

const formatChunk = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

/** Writes bytes that are no answer until the channel is closed. */
const writeWithoutEnd = (
  socket: net.Socket,
  attempt: string,
  {head, chunkBytes, bytesPerS}: Harm,
): void => {
  const [status, line] =
    head === 'success'
      ? ['200 OK', sealLine]
      : ['503 Service Unavailable', 'X-Not-Executed: 1'];
  socket.write(
    formatHead(status, attempt, [line, 'Transfer-Encoding: chunked']),
  );
  const chunk = formatChunk('x'.repeat(chunkBytes));
  const bytes = Buffer.from(
    chunk.repeat(Math.ceil(WRITE_BYTES / chunk.length)),
  );
  const beganAtMs = performance.now();
  let written = 0;
  const write = (): void => {
    if (socket.destroyed) {
      record({event: 'harm_closed', attempt, written});
      return;
    }
    const elapsedS = (performance.now() - beganAtMs) / 1_000;
    if (written > elapsedS * bytesPerS) {
      setTimeout(write, 5);
      return;
    }
    written += bytes.length;
    socket.write(bytes, () => setImmediate(write));
  };
  write();
};

const streamEvents = (
  socket: net.Socket,
  attempt: string,
  lastEventId: number,
): void => {
  const {unframed = false} = behaviour;
  const framing = unframed ? 'Connection: close' : 'Transfer-Encoding: chunked';
  socket.write(
    formatHead('200 OK', attempt, [
      sealLine,
      'Content-Type: text/event-stream',
      'X-Weight-Versions: 1',
      framing,
    ]),
  );
  let event = lastEventId;
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
      record({event: 'dropped', attempt, last: event});
      return;
    }
    event++;
    const text = `id: ${event}\ndata: piece ${event} of ${EVENTS}\n\n`;
    socket.write(unframed ? text : formatChunk(text));
    if (event >= EVENTS) {
      clearInterval(timer);
      record({event: 'run_ended', attempt, last: event});
      if (unframed) {
        socket.end();
      } else {
        socket.write('0\r\n\r\n');
      }
    }
  }, EVENT_INTERVAL_MS);
};

const answerPlain = (socket: net.Socket, attempt: string): void => {
  setTimeout(() => {
    record({event: 'run_ended', attempt});
    if (!socket.destroyed) {
      const lines = [sealLine, `Content-Length: ${PLAIN_BYTES}`];
      const head = formatHead('200 OK', attempt, lines);
      socket.write(head + 'a'.repeat(PLAIN_BYTES));
    }
  }, WORK_MS);
};

const answer = (
  socket: net.Socket,
  {target, headers}: requestParser.ParsedRequest,
): void => {
  const attempt = headers['x-attempt-id'] ?? '';
  const isOther = (headers['x-expect-instance'] ?? id) !== id;
  if (target === '/health') {
    const status = isOther ? '421 Misdirected Request' : '200 OK';
    const lines = [`X-Instance-Id: ${id}`, 'Content-Length: 0', '', ''];
    socket.write([`HTTP/1.1 ${status}`, ...lines].join('\r\n'));
    return;
  }
  if (isOther) {
    const lines = ['X-Not-Executed: 1', 'Content-Length: 0'];
    socket.write(formatHead('421 Misdirected Request', attempt, lines));
    return;
  }
  const harm = mayHarm(target);
  if (harm) {
    harmedAnswers++;
    record({event: 'harmed', attempt, head: harm.head, target});
    writeWithoutEnd(socket, attempt, harm);
    return;
  }
  const lastEventId = Number(headers['last-event-id'] ?? 0);
  record({event: 'runs', attempt, target, lastEventId});
  if (target.startsWith('/draft/')) {
    streamEvents(socket, attempt, lastEventId);
  } else {
    answerPlain(socket, attempt);
  }
};

const findDelayMs = (): number =>
  performance.now() - startedAtMs < SLOW_FOR_MS ? (behaviour.slowMs ?? 0) : 0;

const server = net.createServer(socket => {
  const parser = new requestParser.RequestParser();
  // A channel that its caller resets is dropped.
  socket.on('error', () => undefined);
  socket.on('data', bytes => {
    parser.push(bytes).forEach(request => {
      setTimeout(() => {
        answer(socket, request);
      }, findDelayMs());
    });
  });
});

server.listen(Number(portText), '127.0.0.1', () => {
  record({event: 'started', pid: process.pid});
});
