import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as upstreamFixture from './upstream-fixture.js';

/** Time for which the loop is held, in milliseconds. */
const HELD_MS = 400;

/** What calls showed of the links to upstreams. */
interface LinkSigns {
  readonly links: gateway.LinkObserver;
  readonly signs: string[];
}

const createSigns = (): LinkSigns => {
  const signs: string[] = [];
  return {
    signs,
    links: {
      record: (_upstream, evidence) => signs.push(evidence),
      recordSilence: () => signs.push('silent'),
    },
  };
};

const NAMES = platform.HEADER_NAMES;

/** What is special of one call. */
interface CallOptions {
  readonly connectTimeoutMs: number;
  readonly headTimeoutMs: number;
  /** Called once its connection is open; sends it by default. */
  readonly maySend?: () => Promise<boolean>;
  /** Called when its headers are created. */
  readonly onHeaders?: () => void;
}

describe('calls of a process whose event loop is held', () => {
  let server: fakes.ScriptedUpstream;

  beforeEach(async () => {
    server = new fakes.ScriptedUpstream(({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'own'));
    });
    await server.start();
  });

  afterEach(() => server.stop());

  const call = (
    {links}: LinkSigns,
    {connectTimeoutMs, headTimeoutMs, maySend, onHeaders}: CallOptions,
  ): ReturnType<gateway.OpenCall> => {
    const open = gateway.createOpenCall(new gateway.ConnectionPool(), NAMES, {
      recordNotices: () => undefined,
      links,
    });
    const [host = '', port = ''] = server.address.split(':');
    const upstream = {
      ...upstreamFixture.createUpstream(),
      address: {host, port: Number(port)},
    };
    const request: gateway.UpstreamRequest = {
      upstream,
      requestId: 'r-1',
      method: 'GET',
      target: '/',
      createHeaders: () => {
        onHeaders?.();
        return ['Host', 'svc.example', NAMES.requestId, 'r-1'];
      },
      maySend: maySend ?? (() => Promise.resolve(true)),
      body: Buffer.alloc(0),
      connection: 'fresh',
      connectTimeoutMs,
      headTimeoutMs,
      suspectAfterMs: headTimeoutMs,
    };
    return open(request, new AbortController().signal);
  };

  /** Holds the loop once what has been begun is on its way. */
  const holdNext = (): void => {
    process.nextTick(() => {
      fakes.holdLoop(HELD_MS);
    });
  };

  it('sends nothing over a connection that opens for nobody', async () => {
    // Guards against requests that leave whenever their connection opens, for
    // callers that have left.
    const signs = createSigns();
    const opened = call(signs, {
      connectTimeoutMs: 100,
      headTimeoutMs: 3_000,
      maySend: () => Promise.resolve(false),
    });
    holdNext();
    const failure = (await opened).swap().unsafeCoerce();
    chai.expect(failure).eql({ran: 'not_run', reason: 'withdrawn'});
    chai.expect(server.requests).length(0);
    chai.expect(signs.signs).eql([]);
  });

  it('states the time that is left when a connection has opened late', async () => {
    // Guards against upstreams that are given the time in which their connection
    // was waiting to be noticed.
    const steps: string[] = [];
    const opened = call(createSigns(), {
      connectTimeoutMs: 100,
      headTimeoutMs: 3_000,
      maySend: () => {
        steps.push('asked');
        return Promise.resolve(true);
      },
      onHeaders: () => steps.push('headers'),
    });
    holdNext();
    const answer = await opened;
    chai.expect(answer.isRight()).equal(true);
    chai.expect(steps).eql(['asked', 'headers']);
    answer.ifRight(({body}) => body.resume());
  });

  it('reads an answer that came in time before it counts as silent', async () => {
    // Guards against an upstream that counts as silent for what this process
    // has not read yet.
    const signs = createSigns();
    server.script = ({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'own'));
      holdNext();
    };
    const opened = await call(signs, {
      connectTimeoutMs: 100,
      headTimeoutMs: HELD_MS / 2,
    });
    chai.expect(opened.isRight()).equal(true);
    chai.expect(signs.signs).eql(['answered_new']);
    opened.ifRight(({body}) => body.resume());
  });
});
