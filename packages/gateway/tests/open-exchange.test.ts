import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
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

/** Time in which a refusal without end is left, in milliseconds. */
const MAX_LEFT_MS = 3_000;

/** What is special of one call. */
interface CallOptions {
  readonly connectTimeoutMs: number;
  readonly headTimeoutMs: number;
  /** Called once its connection is open; sends it by default. */
  readonly maySend?: () => Promise<boolean>;
  /** Called when its headers are created. */
  readonly onHeaders?: () => void;
  readonly connection?: 'fresh' | 'kept';
  readonly pool?: gateway.ConnectionPool;
}

/** Sends one request to a server. */
const openFrom = (
  server: fakes.ScriptedUpstream,
  {links}: LinkSigns,
  {
    connectTimeoutMs,
    headTimeoutMs,
    maySend,
    onHeaders,
    connection = 'fresh',
    pool = new gateway.ConnectionPool(),
  }: CallOptions,
): ReturnType<gateway.OpenCall> => {
  const open = gateway.createOpenCall(pool, NAMES, {
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
    connection,
    connectTimeoutMs,
    headTimeoutMs,
    suspectAfterMs: headTimeoutMs,
  };
  return open(request, new AbortController().signal);
};

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
    signs: LinkSigns,
    options: CallOptions,
  ): ReturnType<gateway.OpenCall> => openFrom(server, signs, options);

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

describe('a refusal whose body has no end', () => {
  const refusals: readonly {
    readonly name: string;
    readonly status: number;
    readonly piece: string;
  }[] = [
    {name: 'in chunks of one byte', status: 503, piece: '1\r\nx\r\n'},
    {
      name: 'in large chunks',
      status: 503,
      piece: fakes.formatChunk('x'.repeat(16_000)),
    },
    {
      name: 'of another upstream',
      status: 421,
      piece: fakes.formatChunk('x'.repeat(16_000)),
    },
  ];

  refusals.forEach(({name, status, piece}) => {
    (['fresh', 'kept'] as const).forEach(connection => {
      it(`is left soon, ${name}, on a ${connection} connection`, async () => {
        // Guards against refusals that are read for as long as they come, after
        // their requests were served elsewhere.
        const headers = {[NAMES.notRun]: '1'};
        const server = new fakes.ScriptedUpstream(({request, socket}) => {
          fakes.sendWithoutEnd(socket, {
            name,
            begin: fakes.formatStreamHead(request, {status, headers}),
            piece,
          });
          left = new Promise(resolve => socket.once('close', resolve));
        });
        let left: Promise<unknown> | undefined;
        await server.start();
        const opened = await openFrom(server, createSigns(), {
          connectTimeoutMs: 100,
          headTimeoutMs: 3_000,
          connection,
        });
        chai.expect(opened.swap().unsafeCoerce().ran).equal('not_run');
        const late = ports.systemClock.sleep(MAX_LEFT_MS).then(() => 'late');
        chai.expect(await Promise.race([left, late])).not.equal('late');
        await server.stop();
      });
    });
  });

  it('leaves the connection to the next request if its body ends', async () => {
    // Guards against a new connection for each request that is refused.
    const server = new fakes.ScriptedUpstream(({request, socket}) => {
      const headers = {[NAMES.notRun]: '1'};
      const body = 'x'.repeat(1_000);
      const answer = fakes.formatAnswer(request, body, {status: 503, headers});
      socket.write(answer.slice(0, -500));
      setTimeout(() => socket.write(answer.slice(-500)), 20);
    });
    await server.start();
    const pool = new gateway.ConnectionPool();
    for (let i = 0; i < 3; i++) {
      await openFrom(server, createSigns(), {
        connectTimeoutMs: 100,
        headTimeoutMs: 3_000,
        connection: 'kept',
        pool,
      });
      await ports.systemClock.sleep(100);
    }
    chai.expect(server.connections).equal(1);
    await server.stop();
  });
});
