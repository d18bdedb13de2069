import * as net from 'node:net';
import * as chai from 'chai';
import * as platform from '@amaranthknot/platform';
import * as upstreams from '@amaranthknot/upstreams';
import * as fixture from './gateway-fixture.js';

const NAMES = platform.HEADER_NAMES;

const PART = 'id: 1\ndata: a part\n\n';

/** How a server ends an answer that it began before it has the request. */
type Ending = 'resets' | 'closes' | 'half-closes, then resets';

/** Answers to the begin of a request, whose rest is not read. */
interface EarlyAnswer {
  readonly ending: Ending;
  readonly framing: 'connection' | 'chunks' | 'length';
  /** Time from the answer to its end, in milliseconds. */
  readonly endsAfterMs: number;
  /** Whether it reads the request to its end before the connection ends. */
  readonly readsAll: boolean;
}

const FRAMING_LINES: Readonly<Record<EarlyAnswer['framing'], string>> = {
  connection: 'Connection: close',
  chunks: 'Transfer-Encoding: chunked',
  length: `Content-Length: ${2 * PART.length}`,
};

const formatPart = ({framing}: EarlyAnswer, requestId: string): string => {
  const head = [
    'HTTP/1.1 200 OK',
    `${NAMES.requestId}: ${requestId}`,
    `${NAMES.receipt}: seal`,
    FRAMING_LINES[framing],
    '\r\n',
  ].join('\r\n');
  const size = `${PART.length.toString(16)}\r\n`;
  return head + (framing === 'chunks' ? `${size}${PART}\r\n` : PART);
};

const endConnection = (socket: net.Socket, ending: Ending): void => {
  switch (ending) {
    case 'resets':
      socket.resetAndDestroy();
      return;
    case 'closes':
      socket.destroy();
      return;
    case 'half-closes, then resets':
      socket.end();
      setTimeout(() => socket.resetAndDestroy(), 5);
      return;
  }
};

const isHealthCheck = (head: string): boolean => head.includes(' /health ');

/** Starts a server that answers at once when a request's head has come. */
const startServer = async (answer: EarlyAnswer): Promise<net.Server> => {
  const server = net.createServer(socket => {
    let head = '';
    socket.on('error', () => undefined);
    const read = (bytes: Buffer) => {
      head += bytes.toString('latin1');
      if (!head.includes('\r\n\r\n')) {
        return;
      }
      socket.off('data', read);
      if (isHealthCheck(head)) {
        const id = `${NAMES.upstreamId}: i-1`;
        socket.end(`HTTP/1.1 200 OK\r\n${id}\r\nContent-Length: 0\r\n\r\n`);
        return;
      }
      if (answer.readsAll) {
        socket.resume();
      } else {
        socket.pause();
      }
      const requestId =
        /x-attempt-id: (\S+)/i.exec(head)?.[1] ??
        /x-request-id: (\S+)/i.exec(head)?.[1] ??
        '';
      socket.write(formatPart(answer, requestId));
      setTimeout(() => {
        endConnection(socket, answer.ending);
      }, answer.endsAfterMs);
    };
    socket.on('data', read);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
};

const addressOf = (server: net.Server): string =>
  `127.0.0.1:${(server.address() as net.AddressInfo).port}`;

const ENDINGS: readonly Pick<EarlyAnswer, 'ending' | 'readsAll'>[] = [
  {ending: 'resets', readsAll: false},
  {ending: 'resets', readsAll: true},
  {ending: 'closes', readsAll: false},
  {ending: 'half-closes, then resets', readsAll: false},
];

const EARLY_ANSWERS: readonly EarlyAnswer[] = ENDINGS.flatMap(ending =>
  (['connection', 'chunks', 'length'] as const).flatMap(framing =>
    [0, 1, 30].map(endsAfterMs => ({...ending, framing, endsAfterMs})),
  ),
);

/** Longer than what the systems of both sides buffer. */
const UPLOAD = 'u'.repeat(16_000_000);
const SMALL_UPLOAD = 'u'.repeat(1_000);

describe('an answer that begins before its request has been read', () => {
  let gateway: fixture.GatewayFixture;
  let server: net.Server;

  beforeEach(async () => {
    const limits = {
      headerBytes: 16_384,
      bodyBytes: UPLOAD.length,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    };
    const manifest = {...(fixture.createManifest(1) as object), limits};
    gateway = await fixture.startGateway(1, manifest);
  });

  afterEach(async () => {
    await gateway.stop();
    server.close();
  });

  EARLY_ANSWERS.forEach(early => {
    const {ending, framing, endsAfterMs, readsAll} = early;
    const name = `ended by ${framing}, whose server ${ending} after ${endsAfterMs} ms${readsAll ? ' and reads on' : ''}`;

    it(`is not passed on as whole when it is a part: ${name}`, async () => {
      // Guards against a part that a caller takes for the whole answer.
      server = await startServer(early);
      await gateway.register('i-1', {address: addressOf(server)});
      // One that is read whole may be answered and closed in order.
      const bodies = ending === 'resets' ? [UPLOAD, SMALL_UPLOAD] : [UPLOAD];
      for (const body of bodies) {
        for (const path of [fixture.PATHS.book, fixture.PATHS.once]) {
          const answer = await gateway.call({path, method: 'POST', body});
          const looksWhole = answer.status === 200 && answer.isComplete;
          chai.expect({looksWhole, answer}).deep.include({looksWhole: false});
        }
      }
      const callService = upstreams.createServiceClient(() =>
        Promise.resolve('answered'),
      );
      const call = {method: 'POST', path: '/', requestId: 'r-1'};
      const served = await callService(
        {...call, address: addressOf(server), body: Buffer.from(UPLOAD)},
        new AbortController().signal,
      );
      chai.expect(served.swap().unsafeCoerce().ran).equal('unknown');
    });
  });
});
