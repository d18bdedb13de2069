import * as chai from 'chai';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';
import * as rawConnection from './raw-connection.js';

/** Longest wait for an answer, in milliseconds. */
const MAX_WAIT_MS = 1_000;

const formatHead = (path: string, key: string, framing: string): string =>
  [
    `POST ${path} HTTP/1.1`,
    `Host: ${fixture.HOST}`,
    'X-Attempt-Id: a-1',
    'X-Remaining-Milliseconds: 3000',
    `Api-Key: ${key}`,
    framing,
    '\r\n',
  ].join('\r\n');

const LENGTH = 'Content-Length: 500000';
const CHUNKS = 'Transfer-Encoding: chunked';

describe('a request that is denied by its head', () => {
  let gateway: fixture.GatewayFixture;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
  });

  afterEach(() => gateway.stop());

  const cases: readonly {
    readonly name: string;
    readonly head: string;
    readonly status: number;
  }[] = [
    {
      name: 'an unknown key, with a length',
      head: formatHead(fixture.PATHS.read, 'nobody', LENGTH),
      status: 401,
    },
    {
      name: 'an unknown key, in chunks',
      head: formatHead(fixture.PATHS.read, 'nobody', CHUNKS),
      status: 401,
    },
    {
      name: 'an unknown route',
      head: formatHead('/nowhere/', fixture.KEY, CHUNKS),
      status: 404,
    },
    {
      name: 'a declared length over the limit',
      head: formatHead(
        fixture.PATHS.read,
        fixture.KEY,
        'Content-Length: 2000000',
      ),
      status: 413,
    },
  ];

  cases.forEach(({name, head, status}) => {
    it(`is answered before its body comes: ${name}`, async () => {
      // Guards against callers without a key who fill the memory with bodies.
      const address = gateway.settings[0]?.listen.callers;
      chai.assert(address);
      const {socket} = await rawConnection.connect(address);
      const answered = new Promise<string>(resolve => {
        socket.once('data', bytes => {
          resolve(bytes.toString());
        });
      });
      socket.write(head);
      const none = ports.systemClock.sleep(MAX_WAIT_MS).then(() => '');
      const answer = await Promise.race([answered, none]);
      socket.destroy();
      chai.expect(answer).match(new RegExp(`^HTTP/1.1 ${status} `));
    });
  });

  it('leaves its connection for the next one, once its body has come', async () => {
    // Guards against a body that is taken for the next request.
    const address = gateway.settings[0]?.listen.callers;
    chai.assert(address);
    const {socket, received} = await rawConnection.connect(address);
    const length = 'Content-Length: 5';
    socket.write(formatHead(fixture.PATHS.read, 'nobody', length));
    await ports.systemClock.sleep(MAX_WAIT_MS / 10);
    socket.write('hello');
    socket.write(formatHead('/nowhere/', fixture.KEY, 'Connection: close'));
    const statuses = (await received).match(/HTTP\/1.1 \d+/g);
    chai.expect(statuses).eql(['HTTP/1.1 401', 'HTTP/1.1 404']);
  });
});
