import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as upstreams from '@amaranthknot/upstreams';
import * as loadPoller from '../src/load-poller.js';
import * as fixture from './gateway/gateway-fixture.js';

/** Timeout of every caller, in milliseconds: longer than a test may last. */
const TIMEOUT_MS = 50_000;

/**
 * Bytes that a server may get rid of before it is left, its buffers and those of
 * the receiver included.
 */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

/** A server that sends one form of bytes for as long as it may. */
interface EndlessServer {
  readonly upstream: fakes.ScriptedUpstream;
  readonly sentBytes: () => number;
}

const startServer = async (form: fakes.EndlessForm): Promise<EndlessServer> => {
  let sentBytes = 0;
  const upstream = new fakes.ScriptedUpstream(({socket}) => {
    fakes.sendWithoutEnd(socket, form, bytes => {
      sentBytes += bytes;
      // Ends a test that would fail, in place of filling the memory.
      if (sentBytes > MAX_SENT_BYTES) {
        socket.destroy();
      }
    });
  });
  await upstream.start();
  return {upstream, sentBytes: () => sentBytes};
};

/** Everything that calls a server; resolves to whether it got an answer. */
const CALLERS: readonly {
  readonly name: string;
  readonly call: (address: string) => Promise<boolean>;
}[] = [
  {
    name: 'the client of the store',
    call: async address => {
      const client = new ports.HttpClient({
        url: `http://${address}`,
        timeoutMs: TIMEOUT_MS,
      });
      return (await client.send('GET', '/')).isRight();
    },
  },
  {
    name: 'the transport between instances',
    call: async address => {
      const transport = protocol.createHttpTransport({});
      const answer = await transport.send(address, '{}', TIMEOUT_MS);
      transport.close();
      return answer.isRight();
    },
  },
  {
    name: 'the client of plain services',
    call: async address => {
      const client = upstreams.createServiceClient(
        () => Promise.resolve('answered'),
        TIMEOUT_MS,
      );
      const answer = await client(
        {address, method: 'GET', path: '/', requestId: 'r-1'},
        new AbortController().signal,
      );
      return answer.isRight();
    },
  },
  {
    name: 'the client of engines',
    call: async address => {
      const open = upstreams.createEngineClient(1, TIMEOUT_MS);
      const call = {
        address,
        requestId: 'r-1',
        model: 'small',
        messages: [],
        resumeFrom: 0,
        priority: 'normal',
      };
      for await (const {kind} of open(call, new AbortController().signal)) {
        return kind === 'chunk';
      }
      return false;
    },
  },
  {
    name: 'the reader of load reports',
    call: async address =>
      (await loadPoller.createLoadReader(TIMEOUT_MS)(address)) !== undefined,
  },
];

/** Forms that end within a head, which is all that a health check reads. */
const HEAD_FORMS = fakes.ENDLESS_FORMS.filter(
  ({begin}) => !begin.includes('\r\n\r\n'),
);

describe('an answer without end', () => {
  // Guards against callers that read bytes which can't become an answer until
  // their timeout, with the processor time of all other requests.
  fakes.ENDLESS_FORMS.forEach(form => {
    CALLERS.forEach(({name, call}) => {
      it(`of ${form.name} is left by ${name}`, async () => {
        const {upstream, sentBytes} = await startServer(form);
        chai.expect(await call(upstream.address)).equal(false);
        chai.expect(sentBytes()).below(MAX_SENT_BYTES);
        await upstream.stop();
      });
    });
  });

  HEAD_FORMS.forEach(form => {
    it(`of ${form.name} is left by a health check`, async () => {
      const {upstream, sentBytes} = await startServer(form);
      const [host = '', port = ''] = upstream.address.split(':');
      const check = gateway.createRequestHealth(platform.HEADER_NAMES);
      const result = await check({
        address: {host, port: Number(port)},
        healthPath: '/health',
        connectTimeoutMs: TIMEOUT_MS,
        answerTimeoutMs: TIMEOUT_MS,
      });
      chai.expect(result.kind).equal('reset');
      chai.expect(sentBytes()).below(MAX_SENT_BYTES);
      await upstream.stop();
    });
  });
});

describe('a request whose upstream answers without end', () => {
  fakes.ENDLESS_FORMS.forEach(form => {
    it(`of ${form.name} is answered by another one, or 502`, async () => {
      // Guards against requests that wait for their deadline, one after the
      // other, at an upstream that is not set aside.
      const deployment = await fixture.startGateway();
      const faulty = await startServer(form);
      const sound = new fakes.ScriptedUpstream(({request, socket}) => {
        socket.write(fakes.formatAnswer(request, 'whole'));
      });
      await sound.start();
      await deployment.register('i-1', faulty.upstream);
      await deployment.register('i-2', sound);
      const statuses: number[] = [];
      for (let i = 0; i < 12; i++) {
        const path = i % 2 === 0 ? '/read/1' : '/book/1';
        const {status, body} = await deployment.call({
          path,
          headers: {'X-Remaining-Milliseconds': String(TIMEOUT_MS)},
        });
        statuses.push(status);
        chai.expect(status === 200 ? body : 'whole').equal('whole');
      }
      const repeated = statuses.filter((_, i) => i % 2 === 0);
      chai.expect(repeated).eql(Array(6).fill(200));
      chai.expect([200, 502]).include.members(statuses);
      chai.expect(faulty.upstream.requests.length).most(4);
      chai.expect(faulty.sentBytes()).below(MAX_SENT_BYTES);
      await deployment.stop();
      await faulty.upstream.stop();
      await sound.stop();
    });
  });
});
