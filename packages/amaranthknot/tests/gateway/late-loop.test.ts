import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';

/** Work of a turn, longer than an instance waits for a connection, in ms. */
const LONG_TURN_MS = 400;

/** Work of a turn, longer than any wait for an answer or an event, in ms. */
const SILENCE_MS = 900;

/** Calls at once that open connections to all upstreams, which are kept. */
const WARM_CALLS = 24;

describe('an instance whose event loop is late', () => {
  let gateway: fixture.GatewayFixture;
  let upstreams: readonly fakes.ScriptedUpstream[];

  const setScript = (script: fakes.UpstreamScript): void => {
    for (const upstream of upstreams) {
      upstream.script = script;
    }
  };
  const countSends = (id: string): number =>
    upstreams
      .flatMap(({requests}) => requests)
      .filter(({headers}) => headers['x-attempt-id'] === id).length;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    upstreams = Array.from(
      {length: 3},
      () =>
        new fakes.ScriptedUpstream(({request, socket}) => {
          socket.write(fakes.formatAnswer(request, 'answer'));
        }),
    );
    for (const [index, upstream] of upstreams.entries()) {
      await upstream.start();
      await gateway.register(`i-${index}`, upstream);
    }
    await Promise.all(
      Array.from({length: WARM_CALLS}, () =>
        gateway.call({path: fixture.PATHS.read}),
      ),
    );
  });

  afterEach(async () => {
    await gateway.stop();
    await Promise.all(upstreams.map(upstream => upstream.stop()));
  });

  it('sends a request once whose answer lies unread', async () => {
    // Guards against its own lateness taken for a slow upstream: a hedge.
    setScript(({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'answer'));
      if (countSends('late') === 1) {
        fakes.holdLoop(SILENCE_MS);
      }
    });
    const answer = await gateway.call({path: fixture.PATHS.read, id: 'late'});
    chai.expect(answer.status).equal(200);
    chai.expect(countSends('late')).equal(1);
  });

  it('sends a stream once whose next event lies unread', async () => {
    // Guards against its own lateness taken for a stalled stream: a fail-over.
    setScript(({request, socket}) => {
      socket.write(fakes.formatStreamHead(request));
      socket.write(fakes.formatChunk(fakes.formatEvent(1)));
      setTimeout(() => {
        setImmediate(() => {
          socket.write(fakes.formatChunk(fakes.formatEvent(2)));
          socket.write(fakes.LAST_CHUNK);
          fakes.holdLoop(SILENCE_MS);
        });
      }, 50);
    });
    await gateway.call({path: fixture.PATHS.stream, id: 'late'});
    chai.expect(countSends('late')).equal(1);
  });

  it('opens one connection to an upstream that accepts it at once', async () => {
    // Guards against its own lateness taken for a lost link.
    const countConnections = () =>
      upstreams.reduce((sum, {connections}) => sum + connections, 0);
    const before = countConnections();
    let isBusy = true;
    const keepBusy = () => {
      fakes.holdLoop(LONG_TURN_MS);
      if (isBusy) {
        setImmediate(keepBusy);
      }
    };
    keepBusy();
    const answer = await gateway.call({
      path: fixture.PATHS.book,
      method: 'POST',
      headers: {'X-Remaining-Milliseconds': '8000'},
    });
    isBusy = false;
    await ports.systemClock.sleep(LONG_TURN_MS);
    chai.expect(answer.status).equal(200);
    chai.expect(countConnections() - before).equal(1);
  });
});
