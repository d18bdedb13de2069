import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';
import * as rawConnection from './raw-connection.js';

/** Callers that connect at once; the event loop accepts one in each turn. */
const CALLERS = 150;

/** Work of one turn of the event loop, in milliseconds. */
const TURN_MS = 10;

/**
 * Time after which a caller leaves if its request was not read, in ms: a third
 * of the time that it has.
 */
const PATIENCE_MS = 1_000;

/** Time for which a request may reach an upstream after its caller left. */
const GRACE_MS = 500;

/** Calls at once that open connections to the upstream, which are kept. */
const WARM_CALLS = 6;

/** Keeps the event loop busy in short turns until the result is called. */
const keepBusy = (): (() => void) => {
  let isOver = false;
  const work = () => {
    const end = performance.now() + TURN_MS;
    while (performance.now() < end) {
      // Works.
    }
    if (!isOver) {
      setImmediate(work);
    }
  };
  work();
  return () => {
    isOver = true;
  };
};

describe('callers whose connections wait to be accepted', () => {
  let gateway: fixture.GatewayFixture;
  let upstream: fakes.ScriptedUpstream;
  /** When a request reached the upstream, by its id. */
  let arrivals: Map<string, number>;

  beforeEach(async () => {
    arrivals = new Map();
    gateway = await fixture.startGateway();
    upstream = new fakes.ScriptedUpstream(({request, socket}) => {
      arrivals.set(
        request.headers['x-attempt-id'] ?? '',
        ports.systemClock.now(),
      );
      socket.write(fakes.formatAnswer(request, 'answer'));
    });
    await upstream.start();
    await gateway.register('i-1', upstream);
  });

  afterEach(async () => {
    await gateway.stop();
    await upstream.stop();
  });

  // Guards against work for nobody: a close that lies behind a request.
  it('have nothing sent on after they have left, in short turns of the loop', async () => {
    const address = gateway.settings[0]?.listen.callers;
    if (!address) {
      throw new Error('no instance');
    }
    // Its upstream is on the same loop: kept connections don't wait there.
    await Promise.all(
      Array.from({length: WARM_CALLS}, () =>
        gateway.call({path: fixture.PATHS.read}),
      ),
    );
    const endWork = keepBusy();
    const callAndLeave = async (_: unknown, caller: number) => {
      const id = `caller-${caller}`;
      const {socket} = await rawConnection.connect(address);
      socket.write(rawConnection.formatRead(id));
      await ports.systemClock.sleep(PATIENCE_MS);
      socket.destroy();
      return {id, leftAtMs: ports.systemClock.now()};
    };
    const callers = await Promise.all(
      Array.from({length: CALLERS}, callAndLeave),
    );
    await ports.systemClock.sleep(2 * CALLERS * TURN_MS);
    endWork();
    await ports.systemClock.sleep(GRACE_MS);
    const late = callers.filter(
      ({id, leftAtMs}) => (arrivals.get(id) ?? 0) - leftAtMs > GRACE_MS,
    );
    chai.expect(late.map(({id}) => id)).eql([]);
  });
});
