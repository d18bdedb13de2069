import * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as soak from '@amaranthknot/soak';
import * as oneProcess from './one-process.js';

/** Time for which harmful bytes come, in milliseconds. */
const HARM_MS = 4_000;

/** Interval of the requests that are judged, in milliseconds. */
const JUDGED_INTERVAL_MS = 100;

/**
 * Longest time in which each of them gets its answer, in milliseconds: 0.5 s after
 * the time limit of its route, as the users' platform asks.
 */
const MAX_ANSWER_MS = 3_500;

/** Time in which half of them are answered, in milliseconds. */
const MEDIAN_ANSWER_MS = 250;

/** Bytes that are written at a time, and time between two writes, in ms. */
const WRITE_BYTES = 65_536;
const WRITE_PAUSE_MS = 5;

/** Writes a piece again and again until the connection is closed. */
const writeWithoutEnd = (
  socket: net.Socket,
  head: string,
  piece: string,
): void => {
  const bytes = Buffer.from(
    piece.repeat(Math.ceil(WRITE_BYTES / piece.length)),
  );
  const write = (): void => {
    if (!socket.destroyed) {
      socket.write(bytes, () => setTimeout(write, WRITE_PAUSE_MS));
    }
  };
  socket.write(head);
  write();
};

/** What an upstream does to the requests for `/PATH/harm`. */
interface UpstreamHarm {
  readonly name: string;
  readonly path: 'read' | 'book' | 'stream';
  /** Requests that are answered so, at the same time. */
  readonly answers: number;
  readonly head: 'chunks' | 'unframed' | 'refusal';
  /** What is sent without end. */
  readonly piece: string;
  /** Whether their callers don't read. */
  readonly isUnread?: boolean;
}

const UPSTREAM_HARMS: readonly UpstreamHarm[] = [
  {
    name: 'an event without end in chunks of four bytes',
    path: 'stream',
    answers: 1,
    head: 'chunks',
    piece: '4\r\nxxxx\r\n',
  },
  {
    name: 'events without end in chunks of one byte',
    path: 'stream',
    answers: 40,
    head: 'chunks',
    piece: '1\r\nx\r\n',
  },
  {
    name: 'a line end in each chunk of a stream',
    path: 'stream',
    answers: 10,
    head: 'chunks',
    piece: '1\r\n\n\r\n',
  },
  {
    name: 'an empty event in each chunk of a stream that nobody reads',
    path: 'stream',
    answers: 10,
    head: 'chunks',
    piece: '2\r\n\n\n\r\n',
    isUnread: true,
  },
  {
    name: 'empty events in a stream without a length',
    path: 'stream',
    answers: 10,
    head: 'unframed',
    piece: '\n',
  },
  {
    name: 'answers in chunks of one byte',
    path: 'book',
    answers: 40,
    head: 'chunks',
    piece: '1\r\nx\r\n',
  },
  {
    name: 'answers that may be repeated, in chunks of one byte',
    path: 'read',
    answers: 40,
    head: 'chunks',
    piece: '1\r\nx\r\n',
  },
  {
    name: 'refusals without end in chunks of one byte',
    path: 'book',
    answers: 25,
    head: 'refusal',
    piece: '1\r\nx\r\n',
  },
  {
    name: 'refusals without end in large chunks',
    path: 'book',
    answers: 25,
    head: 'refusal',
    piece: fakes.formatChunk('x'.repeat(16_000)),
  },
];

const HEADS: Readonly<
  Record<
    UpstreamHarm['head'],
    (request: Parameters<typeof fakes.formatNotRun>[0]) => string
  >
> = {
  chunks: request => fakes.formatStreamHead(request),
  unframed: request => fakes.formatUnframedHead(request),
  refusal: request =>
    fakes.formatStreamHead(request, {
      status: 503,
      headers: {'X-Not-Executed': '1'},
    }),
};

const createScript =
  (harm: UpstreamHarm | undefined): fakes.UpstreamScript =>
  ({request, socket}) => {
    if (harm && request.target.endsWith('/harm')) {
      writeWithoutEnd(socket, HEADS[harm.head](request), harm.piece);
    } else {
      socket.write(fakes.formatAnswer(request, 'fine'));
    }
  };

/** What callers send, all at the same time. */
interface CallerHarm {
  readonly name: string;
  readonly callers: number;
  readonly bytes: number;
  readonly chunkBytes: number;
  readonly key?: string;
}

const UNKNOWN_KEY = 'key-of-nobody';

const CALLER_HARMS: readonly CallerHarm[] = [
  {name: 'one', callers: 1, bytes: 900_000, chunkBytes: 1},
  {
    name: 'one without a key',
    callers: 1,
    bytes: 4_000_000,
    chunkBytes: 1,
    key: UNKNOWN_KEY,
  },
  {
    name: 'twenty without a key',
    callers: 20,
    bytes: 4_000_000,
    chunkBytes: 1,
    key: UNKNOWN_KEY,
  },
  {name: 'twenty', callers: 20, bytes: 900_000, chunkBytes: 1},
  {name: 'twenty', callers: 20, bytes: 900_000, chunkBytes: 8},
  {name: 'sixty', callers: 60, bytes: 900_000, chunkBytes: 1_400},
];

/** Sends a message of another instance without end. */
const sendPeerMessage = (port: number, piece: string): net.Socket => {
  const socket = net.connect({host: oneProcess.IP, port});
  socket.on('error', () => undefined);
  const head = [
    'POST /inner/rpc HTTP/1.1',
    'Host: peer',
    'Transfer-Encoding: chunked',
    '\r\n',
  ].join('\r\n');
  writeWithoutEnd(socket, head, piece);
  return socket;
};

/** How a request that is judged was answered. */
interface JudgedRequest {
  readonly status: number;
  readonly tookMs: number;
}

/** Asks again and again until `isOver`. */
const judgeOthers = async (
  port: number,
  isOver: () => boolean,
): Promise<readonly JudgedRequest[]> => {
  const asked: Promise<JudgedRequest>[] = [];
  while (!isOver()) {
    const askedAtMs = performance.now();
    const {status, socket} = oneProcess.call(port, 'POST', '/book/quick');
    asked.push(
      status.then(found => {
        socket.destroy();
        return {status: found, tookMs: performance.now() - askedAtMs};
      }),
    );
    await ports.systemClock.sleep(JUDGED_INTERVAL_MS);
  }
  return Promise.all(asked);
};

describe('bytes that cost more than they weigh', function () {
  this.timeout(60_000);
  let system: oneProcess.OneProcess;

  before(function () {
    this.timeout(120_000);
    soak.buildArtefact();
  });

  afterEach(() => system.stop());

  /** Checks memory and other callers while `begin` does harm. */
  const check = async (begin: () => readonly net.Socket[]): Promise<void> => {
    const sockets = begin();
    const endMs = performance.now() + HARM_MS;
    const others = await judgeOthers(
      system.port,
      () => performance.now() > endMs,
    );
    sockets.forEach(socket => socket.destroy());
    const unanswered = others.filter(({status}) => status === 0).length;
    const times = others.map(({tookMs}) => tookMs).sort((a, b) => a - b);
    chai.expect(system.process.end).equal(undefined);
    chai.expect({unanswered}).deep.equal({unanswered: 0});
    chai.expect(times.at(-1), 'slowest').lessThan(MAX_ANSWER_MS);
    const median = times[Math.floor(times.length / 2)];
    chai.expect(median, 'median').lessThan(MEDIAN_ANSWER_MS);
    chai
      .expect(system.process.peakResidentBytes, 'peak')
      .lessThan(oneProcess.MAX_RESIDENT_BYTES);
  };

  // Guards against an instance that does nothing else or is over its memory
  // limit, because of one faulty upstream.
  UPSTREAM_HARMS.forEach(harm => {
    const {name, path, answers, isUnread = false} = harm;
    it(`of an upstream leave time and memory for others: ${name}`, async () => {
      system = await oneProcess.startProcess(createScript(harm));
      const ask = () =>
        oneProcess.call(system.port, 'POST', `/${path}/harm`, {
          isSlow: isUnread,
        }).socket;
      await check(() => Array.from({length: answers}, ask));
    });
  });

  // Guards against the same because of one caller, also one without a key.
  CALLER_HARMS.forEach(({name, callers, bytes, chunkBytes, key}) => {
    it(`of ${name} who sends ${bytes} bytes in chunks of ${chunkBytes} leave time and memory for others`, async () => {
      system = await oneProcess.startProcess(createScript(undefined));
      const options = {
        body: Buffer.alloc(bytes, 'b'),
        isChunked: true,
        chunkBytes,
        ...(key === undefined ? {} : {key}),
      };
      const send = () =>
        oneProcess.call(system.port, 'POST', '/read/1', options).socket;
      await check(() => Array.from({length: callers}, send));
    });
  });

  // Guards against the same because of another instance.
  ['1\r\nx\r\n', fakes.formatChunk('x'.repeat(16_000))].forEach(piece => {
    it(`of another instance leave time and memory for others, ${piece.length} bytes a chunk`, async () => {
      system = await oneProcess.startProcess(createScript(undefined));
      const send = () => sendPeerMessage(system.peerPort, piece);
      await check(() => Array.from({length: 10}, send));
    });
  });

  it('are dropped with their connection where a caller without a key sends no end', async () => {
    // Guards against a refused body that is read for as long as it comes.
    system = await oneProcess.startProcess(createScript(undefined));
    const {socket, status} = oneProcess.call(system.port, 'POST', '/read/1', {
      key: UNKNOWN_KEY,
      body: Buffer.alloc(0),
      declaredBytes: 1_000_000_000,
    });
    writeWithoutEnd(socket, '', 'x');
    const closed = new Promise(resolve => socket.once('close', resolve));
    chai.expect(await status).equal(401);
    await closed;
  });
});
