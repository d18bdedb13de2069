import * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fixture from './gateway-fixture.js';
import * as rawConnection from './raw-connection.js';

/** Duration of each turn of a loaded instance's event loop, in ms. */
const TURN_MS = 300;

/** Turns that take so long, for as long as the caller waits. */
const TURNS = 13;

const nextTurn = (): Promise<void> =>
  new Promise(resolve => {
    setImmediate(resolve);
  });

/** Makes turns of the event loop long. */
const holdTurns = async (turns: number, turnMs: number): Promise<void> => {
  for (let i = 0; i < turns; i++) {
    fakes.holdLoop(turnMs);
    await nextTurn();
  }
};

/** Work that takes up each turn of the event loop, where it reads. */
interface ReadingWork {
  /** Number of turns so far. */
  readonly turns: () => number;
  readonly stop: () => void;
}

/** Makes turns long while they read, as the requests of many callers do. */
const startReadingWork = async (turnMs: number): Promise<ReadingWork> => {
  let turns = 0;
  const workOn = (socket: net.Socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      turns++;
      fakes.holdLoop(turnMs);
      socket.write('more');
    });
  };
  const server = net.createServer(workOn);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  workOn(socket);
  socket.write('more');
  return {
    turns: () => turns,
    stop: () => {
      socket.destroy();
      server.close();
    },
  };
};

describe('an instance whose turns of the event loop are long', () => {
  let upstream: fakes.ScriptedUpstream;
  let gateway: fixture.GatewayFixture;

  beforeEach(async () => {
    upstream = new fakes.ScriptedUpstream(({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'own'));
    });
    await upstream.start();
  });

  afterEach(async () => {
    await gateway.stop();
    await upstream.stop();
  });

  (['read', 'book'] as const).forEach(route => {
    it(`still sends requests whose callers wait: ${route}`, async () => {
      // Guards against a saturated instance that serves nobody: connections
      // that open within a turn are always late, are thrown away and opened
      // again, and none is ever kept.
      gateway = await fixture.startGateway();
      await gateway.register('i-1', upstream);
      const address = gateway.settings[0]!.listen.callers;
      const {socket} = await rawConnection.connect(address);
      socket.on('error', () => undefined);
      await fixture.pause(50);
      const work = await startReadingWork(TURN_MS);
      await fixture.waitUntil(() => work.turns() >= 2);
      socket.write(
        rawConnection.format('waits', fixture.PATHS[route], TURNS * TURN_MS),
      );
      await fixture.waitUntil(
        () => work.turns() >= TURNS + 2 || upstream.requests.length > 0,
      );
      work.stop();
      const sent = upstream.requests.length;
      socket.destroy();
      chai.expect(sent).equal(1);
    });
  });

  it('sends a request to no more upstreams than its route allows', async () => {
    // Guards against a hedge for an attempt that waits to be sent.
    const others = [1, 2].map(
      () => new fakes.ScriptedUpstream(() => undefined),
    );
    upstream.script = () => undefined;
    await Promise.all(others.map(other => other.start()));
    gateway = await fixture.startGateway(
      1,
      fixture.createManifest(1, {maxAttempts: 1, targetLatencyMs: 300}),
    );
    await gateway.register('i-1', upstream);
    await gateway.register('i-2', others[0]!);
    await gateway.register('i-3', others[1]!);
    const address = gateway.settings[0]!.listen.callers;
    const {socket} = await rawConnection.connect(address);
    socket.on('error', () => undefined);
    await fixture.pause(50);
    socket.write(rawConnection.format('once', fixture.PATHS.read, 3_000));
    await holdTurns(6, 230);
    await fixture.pause(300);
    const sent = [upstream, ...others].flatMap(({requests}) => requests);
    chai.expect(sent.length).equal(1);
    socket.destroy();
    await Promise.all(others.map(other => other.stop()));
  });
});

describe('an instance whose event loop was held and goes on', () => {
  /** Time for which the loop is held, in milliseconds. */
  const HELD_MS = 1_200;

  it('serves callers that have just come', async () => {
    // Guards against callers refused for what others waited: what is read a few
    // turns after a long one has just arrived.
    const upstream = new fakes.ScriptedUpstream(({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'own'));
    });
    await upstream.start();
    const gateway = await fixture.startGateway();
    await gateway.register('i-1', upstream);
    await gateway.call({path: fixture.PATHS.read, id: 'before'});
    await fixture.pause(120);
    fakes.holdLoop(HELD_MS);
    for (let turn = 0; turn < 6; turn++) {
      await nextTurn();
    }
    const answer = await gateway.call({
      path: fixture.PATHS.read,
      id: 'fresh',
      headers: {'x-remaining-milliseconds': '800'},
    });
    await gateway.stop();
    await upstream.stop();
    chai.expect(answer.status, answer.body).equal(200);
  });
});

describe('an answer that lies unread while the event loop is held', () => {
  let upstream: fakes.ScriptedUpstream;
  let other: fakes.ScriptedUpstream;
  let gateway: fixture.GatewayFixture;

  const start = async (
    heldMs: number,
    overrides: Readonly<Record<string, unknown>>,
  ): Promise<void> => {
    const answerAndHold: fakes.ScriptedUpstream['script'] = ({
      request,
      socket,
    }) => {
      socket.write(fakes.formatAnswer(request, 'own'));
      if (request.headers['x-attempt-id']?.startsWith('warm')) {
        return;
      }
      process.nextTick(() => {
        fakes.holdLoop(heldMs);
      });
    };
    upstream = new fakes.ScriptedUpstream(answerAndHold);
    other = new fakes.ScriptedUpstream(answerAndHold);
    await Promise.all([upstream.start(), other.start()]);
    gateway = await fixture.startGateway(
      1,
      fixture.createManifest(1, overrides),
    );
    await gateway.register('i-1', upstream);
    await gateway.register('i-2', other);
    await fixture.pause(120);
  };

  afterEach(async () => {
    await gateway.stop();
    await Promise.all([upstream.stop(), other.stop()]);
  });

  it('is passed on though the timer of the deadline comes first', async () => {
    // Guards against answers that are replaced by a failure, and upstreams that
    // count as failed, because this process was busy.
    await start(700, {timeoutMs: 500, targetLatencyMs: 450});
    const answer = await gateway.call({
      path: fixture.PATHS.book,
      id: 'deadline',
      method: 'POST',
      headers: {'x-remaining-milliseconds': '3000'},
    });
    chai.expect(answer.status, answer.body).equal(200);
  });

  it('is read before the request is sent to another upstream', async () => {
    // Guards against repeats for answers that came in time.
    await start(100, {targetLatencyMs: 200});
    for (let i = 0; i < 10; i++) {
      // Earns repeats.
      await gateway.call({path: fixture.PATHS.read, id: `warm-${i}`});
    }
    await fixture.pause(120);
    await gateway.call({
      path: fixture.PATHS.read,
      id: 'hedged',
      headers: {'x-remaining-milliseconds': '3000'},
    });
    await fixture.pause(50);
    const sent = [...upstream.requests, ...other.requests].filter(
      ({headers}) => headers['x-attempt-id'] === 'hedged',
    );
    chai.expect(sent.length).equal(1);
  });
});

describe('a request that lies unread while its connection becomes idle', () => {
  it('is read before the connection is closed', async () => {
    // Guards against callers who reuse a connection in time and find it reset,
    // because the timer of the idle timeout runs before the reading.
    const upstream = new fakes.ScriptedUpstream(({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'own'));
    });
    await upstream.start();
    const manifest = fixture.createManifest(1) as {limits: object};
    const gateway = await fixture.startGateway(1, {
      ...manifest,
      limits: {...manifest.limits, idleTimeoutMs: 1_000},
    });
    await gateway.register('i-1', upstream);
    const address = gateway.settings[0]!.listen.callers;
    const {socket, received} = await rawConnection.connect(address);
    socket.on('error', () => undefined);
    socket.write(rawConnection.format('first', fixture.PATHS.read, 4_000));
    await fixture.waitUntil(() => upstream.requests.length === 1);
    await fixture.pause(780);
    socket.write(rawConnection.format('second', fixture.PATHS.read, 4_000));
    fakes.holdLoop(2_600);
    await fixture.pause(1_000);
    socket.destroy();
    const answers = (await received).split('HTTP/1.1 200').length - 1;
    await gateway.stop();
    await upstream.stop();
    chai.expect(answers).equal(2);
  });
});
