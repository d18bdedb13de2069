import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as upstreams from '@amaranthknot/upstreams';
import * as fixture from './gateway-fixture.js';

const NAMES = platform.HEADER_NAMES;

/** A head that is not that of a final answer, as it stands on the wire. */
interface InvalidHead {
  readonly name: string;
  readonly statusLine: string;
  readonly framing: string;
}

const INVALID_HEADS: readonly InvalidHead[] = [
  {name: 'status 000', statusLine: '000 None', framing: 'Content-Length: 5'},
  {name: 'status 000, no length', statusLine: '000 None', framing: ''},
  {name: 'status 042', statusLine: '042 Low', framing: 'Content-Length: 5'},
  {name: 'status 101', statusLine: '101 Switching', framing: ''},
  {name: 'status 999', statusLine: '999 High', framing: 'Content-Length: 5'},
  {
    name: 'status 204 with a body',
    statusLine: '204 No Content',
    framing: 'Content-Length: 5',
  },
  {
    name: 'status 204 with chunks',
    statusLine: '204 No Content',
    framing: 'Transfer-Encoding: chunked',
  },
];

const formatInvalid = (
  {statusLine, framing}: InvalidHead,
  requestId: string,
): string =>
  [
    `HTTP/1.1 ${statusLine}`,
    `${NAMES.requestId}: ${requestId}`,
    `${NAMES.receipt}: seal`,
    ...(framing === '' ? [] : [framing]),
    '',
    'hello',
  ].join('\r\n');

/** An upstream that answers every request but health checks so. */
const createFaulty = (head: InvalidHead): fakes.ScriptedUpstream =>
  new fakes.ScriptedUpstream(({request, socket}) => {
    const id = request.headers[NAMES.requestId.toLowerCase()] ?? '';
    socket.write(formatInvalid(head, id));
  });

const answerSoundly: fakes.UpstreamScript = ({request, socket}) => {
  if (request.target.startsWith('/stream')) {
    socket.write(fakes.formatStreamHead(request));
    socket.write(fakes.formatChunk(fakes.formatEvent(1)) + fakes.LAST_CHUNK);
  } else {
    socket.write(fakes.formatAnswer(request, 'sound'));
  }
};

describe('an answer with an invalid head', () => {
  let gateway: fixture.GatewayFixture;
  let faulty: fakes.ScriptedUpstream;
  let sound: fakes.ScriptedUpstream;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    sound = new fakes.ScriptedUpstream(answerSoundly);
    await sound.start();
  });

  afterEach(async () => {
    await gateway.stop();
    await sound.stop();
    await faulty.stop();
  });

  const startFaulty = async (head: InvalidHead): Promise<void> => {
    faulty = createFaulty(head);
    await faulty.start();
    await gateway.register('i-faulty', faulty);
  };

  INVALID_HEADS.forEach(head => {
    (['read', 'book', 'stream', 'once'] as const).forEach(route => {
      it(`of ${head.name} is no answer to a request for ${route}`, async () => {
        // Guards against callers who get a reset, or a status that is none.
        await startFaulty(head);
        const path = fixture.PATHS[route];
        const answer = await gateway.call({path, method: 'POST'});
        chai.expect(answer.status).equal(502);
        chai.expect(answer.isComplete).equal(true);
      });
    });

    (['read', 'stream'] as const).forEach(route => {
      it(`of ${head.name} is replaced by a sound one for ${route}`, async () => {
        // Guards against a request that is not sent again where it may be, and
        // an upstream that is called again and again.
        await startFaulty(head);
        await gateway.register('i-sound', sound);
        const path = fixture.PATHS[route];
        for (let i = 0; i < 20; i++) {
          const answer = await gateway.call({path, method: 'POST'});
          chai.expect(answer.status).equal(200);
          chai.expect(answer.isComplete).equal(true);
        }
        chai.expect(faulty.requests.length).below(10);
      });
    });

    it(`of ${head.name} is no answer of the store, nor of a service`, async () => {
      // Guards against a write that counts as done, and a service's answer that
      // can't be passed on.
      await startFaulty(head);
      const {address} = faulty;
      const client = new ports.HttpClient({url: `http://${address}`});
      const stored = await client.send('PUT', '/', {body: {}});
      chai.expect(stored.isLeft()).equal(true);
      const callService = upstreams.createServiceClient(() =>
        Promise.resolve('answered'),
      );
      const served = await callService(
        {address, method: 'POST', path: '/', requestId: 'r-1'},
        new AbortController().signal,
      );
      chai.expect(served.swap().unsafeCoerce().ran).equal('unknown');
    });
  });
});
