import * as net from 'node:net';
import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';

/** One accept queue, whose connections a test accepts itself. */
interface AcceptQueue {
  readonly waits: gateway.ArrivalWaits;
  /** Accepts a connection in this turn of the loop. */
  readonly accept: () => net.Socket;
  readonly setTime: (ms: number) => void;
  /** How late the loop is from now on, in milliseconds. */
  readonly setLate: (ms: number) => void;
}

const createQueue = (waitedMs = 0): AcceptQueue => {
  const server = new net.Server();
  let now = 0;
  let lateMs = 0;
  const loop = {maxWaitMs: () => lateMs};
  const waits = new gateway.ArrivalWaits(loop, () => now);
  waits.watch(server, waitedMs);
  return {
    waits,
    accept: () => {
      const socket = new net.Socket();
      server.emit('connection', socket);
      return socket;
    },
    setTime: ms => {
      now = ms;
    },
    setLate: ms => {
      lateMs = ms;
    },
  };
};

const nextTurn = (): Promise<void> =>
  new Promise(resolve => {
    setImmediate(resolve);
  });

const passTurns = async (turns: number): Promise<void> => {
  for (let i = 0; i < turns; i++) {
    await nextTurn();
  }
};

describe('ArrivalWaits', () => {
  it('counts what connections waited in the accept queue, one a turn', async () => {
    // Guards against requests sent for callers that left: after a long turn each
    // turn accepts one connection, and the last waits for as many turns.
    const {waits, accept, setTime, setLate} = createQueue();
    await passTurns(5);
    setTime(1_000);
    setLate(800);
    accept();
    setLate(0);
    for (const ms of [1_100, 1_200, 1_300]) {
      await nextTurn();
      setTime(ms);
      accept();
    }
    const last = accept();
    await nextTurn();
    setTime(1_400);
    chai.expect(waits.findWaitMs(last)).equal(1_200);
  });

  it('counts from anew once the queue was empty', async () => {
    // Guards against callers that are refused for what others have waited.
    const {waits, accept, setTime, setLate} = createQueue();
    setLate(800);
    accept();
    setLate(0);
    await passTurns(5);
    setTime(5_000);
    const next = accept();
    setTime(5_100);
    chai.expect(waits.findWaitMs(next)).equal(100);
  });

  it('counts nothing of a connection that was idle before its request', async () => {
    // Guards against a request that counts for as old as its connection.
    const {waits, accept, setTime} = createQueue();
    const socket = accept();
    await passTurns(5);
    setTime(2_000);
    chai.expect(waits.findWaitMs(socket)).equal(0);
  });

  it('counts how late the loop is for connections that are kept', async () => {
    // Guards against a request that counts as just arrived after a long turn.
    const {waits, accept, setLate} = createQueue();
    const socket = accept();
    await passTurns(5);
    setLate(600);
    chai.expect(waits.findWaitMs(socket)).equal(600);
  });

  it('counts what connections waited before the server took them over', () => {
    // Guards against callers of an instance that loads counting as new.
    const {waits, accept} = createQueue(900);
    chai.expect(waits.findWaitMs(accept())).equal(900);
  });
});

describe('ArrivalWaits of a machine that is suspended', () => {
  it('counts a suspension while connections lie in the accept queue', async () => {
    // Guards against callers of a machine that was suspended: its monotonic time
    // stood still, and only the loop knows.
    const {waits, accept, setTime, setLate} = createQueue();
    await passTurns(5);
    accept();
    await nextTurn();
    setTime(10);
    setLate(5_000);
    accept();
    await nextTurn();
    setTime(60);
    setLate(0);
    const last = accept();
    await nextTurn();
    setTime(70);
    chai.expect(waits.findWaitMs(last)).least(5_000);
  });
});

/** A caller server in this process, and how long its requests waited. */
interface MeasuredServer {
  readonly port: number;
  /** By request: the bound, and how long ago its caller connected, in ms. */
  readonly waits: readonly {boundMs: number; actualMs: number}[];
  readonly connect: () => void;
  readonly stop: () => Promise<void>;
}

const startMeasuredServer = async (): Promise<MeasuredServer> => {
  const opened = net.createServer();
  await new Promise<void>(resolve => opened.listen(0, '127.0.0.1', resolve));
  const {port} = opened.address() as net.AddressInfo;
  const waits: {boundMs: number; actualMs: number}[] = [];
  const server = new gateway.CallerServer(
    {host: '127.0.0.1', port},
    (message, response, boundMs) => {
      const sinceMs = Number(message.headers['x-since']);
      waits.push({boundMs, actualMs: performance.now() - sinceMs});
      response.end();
      return Promise.resolve();
    },
    {maxWaitMs: () => 0},
    {server: opened, openedAtMs: performance.now()},
  );
  await server.start();
  return {
    port,
    waits,
    connect: () => {
      const socket = net.connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      socket.resume();
      socket.write(
        `GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Since: ${performance.now()}\r\n\r\n`,
      );
    },
    stop: () => server.stop(0),
  };
};

describe('a caller server that accepts one connection in each turn', () => {
  it('knows that those who connect now have not waited for seconds', async () => {
    // Guards against callers refused by the age of the load, not of their wait.
    const server = await startMeasuredServer();
    await passTurns(5);
    const endMs = performance.now() + 2_500;
    while (performance.now() < endMs) {
      const turnEndMs = performance.now() + 4;
      // What other requests take in a turn.
      while (performance.now() < turnEndMs) {
        // Busy.
      }
      server.connect();
      await nextTurn();
    }
    await server.stop();
    const last = server.waits.slice(-50);
    const actual = Math.max(...last.map(({actualMs}) => actualMs));
    const bound = Math.min(...last.map(({boundMs}) => boundMs));
    chai.expect(bound - actual, `${bound} of ${actual}`).most(500);
  });
});
