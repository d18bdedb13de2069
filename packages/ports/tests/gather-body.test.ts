import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as ports from '@amaranthknot/ports';

/** Pieces that are sent; more than a body has of its own. */
const PIECES = 20_000;

const formatChunks = (pieces: number, text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`.repeat(pieces) + '0\r\n\r\n';

/** What a reader got of a body. */
interface ReadResult {
  readonly bytes: number;
  readonly pieces: number;
  readonly tookMs: number;
}

const read = (message: http.IncomingMessage): Promise<ReadResult> =>
  new Promise(resolve => {
    const beganAtMs = performance.now();
    let bytes = 0;
    let pieces = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      pieces++;
    });
    message.once('end', () => {
      resolve({bytes, pieces, tookMs: performance.now() - beganAtMs});
    });
  });

const listen = async (server: net.Server): Promise<number> => {
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as net.AddressInfo).port;
};

/** Sends a body to a server that gathers it. */
const sendRequest = async (body: string): Promise<ReadResult> => {
  const server = http.createServer();
  const port = await listen(server);
  const result = new Promise<ReadResult>(resolve => {
    server.once('request', message => {
      ports.gatherRequest(message);
      resolve(read(message));
    });
  });
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n');
  socket.write(`\r\n${body}`);
  const found = await result;
  socket.destroy();
  server.close();
  return found;
};

/** Gets a body of a server, and gathers it. */
const getAnswer = async (body: string): Promise<ReadResult> => {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body}`,
      );
    });
  });
  const port = await listen(server);
  const request = http.get({host: '127.0.0.1', port, agent: false});
  ports.boundAnswer(request);
  const message = await new Promise<http.IncomingMessage>(resolve => {
    request.once('response', resolve);
  });
  const found = await read(message);
  request.destroy();
  server.close();
  return found;
};

describe('a body that is gathered', () => {
  const directions: readonly {
    readonly name: string;
    readonly pass: (body: string) => Promise<ReadResult>;
    readonly kind: ports.HeldBody['kind'];
  }[] = [
    {name: 'request', pass: sendRequest, kind: 'request'},
    {name: 'answer', pass: getAnswer, kind: 'answer'},
  ];

  directions.forEach(({name, pass, kind}) => {
    it(`comes whole and in few pieces, as a ${name} in bytes`, async () => {
      // Guards against a reader that gets each byte by itself, and against a
      // body that never ends after it was held.
      const held: ports.HeldBody[] = [];
      const end = ports.watchHeldBodies(body => held.push(body));
      const {bytes, pieces, tookMs} = await pass(formatChunks(PIECES, 'x'));
      end();
      chai.expect(bytes).equal(PIECES);
      chai.expect(pieces).below(PIECES / 100);
      chai.expect(tookMs, 'held').greaterThan(100);
      chai.expect(held.map(each => each.kind)).eql([kind]);
    });

    it(`is not held as a ${name} of 10 MB in chunks of 1,400 bytes`, async () => {
      // Guards against sound senders who wait as if they did harm.
      const held: ports.HeldBody[] = [];
      const end = ports.watchHeldBodies(body => held.push(body));
      const {bytes} = await pass(formatChunks(7_200, 'x'.repeat(1_400)));
      end();
      chai.expect(bytes).equal(7_200 * 1_400);
      chai.expect(held).length(0);
    });
  });
});
