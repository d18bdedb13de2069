import * as events from 'node:events';
import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';

/** Time of a reading of the connections, in milliseconds. */
const TURN_MS = 100;

/** A run at an instance whose loop a test moves on. */
interface HeldRun {
  readonly end: gateway.RunEnd;
  readonly connection: events.EventEmitter;
  readonly readings: () => number;
}

/** What is special of a run. */
interface RunOptions {
  readonly lateMs?: number;
  readonly waitedMs?: number;
  /** Time that passes between a reading and its being known, by reading. */
  readonly delaysMs?: readonly number[];
  /** Called in each reading. */
  readonly onRead?: (connection: events.EventEmitter) => void;
}

const startRun = (options: RunOptions): HeldRun => {
  const {lateMs = 0, waitedMs = 0, delaysMs = [], onRead} = options;
  const connection = new events.EventEmitter();
  let now = 0;
  let readings = 0;
  const end = gateway.awaitRunEnd({
    response: new events.EventEmitter(),
    connection,
    clock: {now: () => now},
    loop: {
      maxWaitMs: () => lateMs,
      whenRead: () => {
        const readFromMs = now;
        now += delaysMs[readings] ?? TURN_MS;
        readings++;
        onRead?.(connection);
        return Promise.resolve(readFromMs);
      },
    },
    endsAtMs: 2_000,
    waitedMs,
  });
  return {end, connection, readings: () => readings};
};

describe('awaitRunEnd', () => {
  it('reads nothing again while the loop is on time', async () => {
    // Guards against a calm instance that pays for each request.
    const {end, readings} = startRun({});
    chai.expect(await end.isAwaited()).equal(true);
    chai.expect(readings()).equal(0);
    end.stop();
  });

  [{lateMs: 500}, {waitedMs: 500}].forEach(options => {
    it(`learns of a caller that left unread: ${JSON.stringify(options)}`, async () => {
      // Guards against work for nobody: the end of the connection lies behind
      // what is read first.
      const {end} = startRun({
        ...options,
        onRead: connection => connection.emit('end'),
      });
      chai.expect(await end.isAwaited()).equal(false);
      chai.expect(end.signal.reason).equal('caller_left');
      end.stop();
    });
  });

  it('reads again after others took long', async () => {
    // Guards against a request that is sent a second after its connection was
    // read, as all requests of a burst go on after the same reading.
    const {end, readings} = startRun({
      lateMs: 500,
      delaysMs: [800, TURN_MS],
    });
    chai.expect(await end.isAwaited()).equal(true);
    chai.expect(readings()).equal(2);
    end.stop();
  });

  it('goes on where each reading takes long', async () => {
    // Guards against callers of a saturated instance who are never served.
    const {end, readings} = startRun({
      lateMs: 500,
      delaysMs: [300, 300, 300, 300],
    });
    chai.expect(await end.isAwaited()).equal(true);
    chai.expect(readings()).equal(3);
    end.stop();
  });

  it('ends at its deadline though its timer is late', async () => {
    // Guards against a request that is sent after its deadline.
    const {end} = startRun({lateMs: 500, delaysMs: [2_100, TURN_MS]});
    chai.expect(await end.isAwaited()).equal(false);
    chai.expect(end.signal.reason).equal('time_up');
    end.stop();
  });
});
