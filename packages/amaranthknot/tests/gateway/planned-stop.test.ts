import type * as configuration from '@amaranthknot/configuration';
import * as ports from '@amaranthknot/ports';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fixture from './gateway-fixture.js';
import * as rawConnection from './raw-connection.js';

const answerAtOnce: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatAnswer(request, 'fine'));
};

/** Longer than a stopping instance leaves its connections open, in ms. */
const WORK_MS = 300;

const answerLate: fakes.UpstreamScript = ({request, socket}) => {
  setTimeout(() => {
    socket.write(fakes.formatAnswer(request, 'fine'));
  }, WORK_MS);
};

/** Resolves once an instance accepts no connection any more. */
const waitUntilClosing = async (
  address: configuration.Address,
): Promise<void> => {
  for (;;) {
    const connection = await rawConnection
      .connect(address)
      .catch(() => undefined);
    if (!connection) {
      return;
    }
    connection.socket.destroy();
    await ports.systemClock.sleep(2);
  }
};

describe('planned stop of a gateway instance', () => {
  let gateway: fixture.GatewayFixture;
  let upstream: fakes.ScriptedUpstream;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    upstream = new fakes.ScriptedUpstream(answerAtOnce);
    await upstream.start();
    await gateway.register('i-1', upstream);
  });

  afterEach(async () => {
    await gateway.stop();
    await upstream.stop();
  });

  const read = (timeLeftMs: number): Promise<fixture.CallerAnswer> =>
    gateway.call({
      path: fixture.PATHS.read,
      headers: {'X-Remaining-Milliseconds': String(timeLeftMs)},
    });

  it('refuses requests that may outlast the grace time, and takes shorter ones', async () => {
    // A booking arrives 0.4 s before the end of the grace time. Guards against
    // sending it on: it would be cut with the process, and its caller would get
    // neither an answer nor a refusal although another instance could have
    // taken it.
    const endless: fakes.UpstreamScript = ({request, socket}) => {
      const text = fakes.formatChunk(fakes.formatEvent(1));
      socket.write(fakes.formatStreamHead(request) + text);
    };
    upstream.script = endless;
    const held = gateway.call({
      path: fixture.PATHS.once,
      method: 'POST',
      body: 'prompt',
      headers: {'X-Remaining-Milliseconds': '4000'},
    });
    await fixture.waitUntil(() => upstream.requests.length === 1, 'the stream');
    upstream.script = answerAtOnce;
    const stopped = gateway.instances[0]?.stop();
    let long = await read(60_000);
    while (long.status === 200) {
      long = await read(60_000);
    }
    const ran = upstream.requests.length;
    const short = await read(200);
    chai.expect(long.status).equal(503);
    chai.expect(long.headers['retry-after']).equal('0.000');
    chai.expect(short.status).equal(200);
    chai.expect(upstream.requests.length).equal(ran + 1);
    await held;
    await stopped;
  });

  it('cuts off no request that arrives while it closes its connections', async () => {
    // Guards against placing a request that the end of the process cuts off.
    upstream.script = answerLate;
    const address = gateway.settings[0]?.listen.callers;
    if (!address) {
      throw new Error('no instance');
    }
    const opened = Array.from({length: 8}, () =>
      rawConnection.connect(address),
    );
    const connections = await Promise.all(opened);
    const stopped = gateway.instances[0]?.stop();
    await waitUntilClosing(address);
    connections.forEach(({socket}, index) => {
      socket.write(rawConnection.formatRead(`late-${index}`));
    });
    const answers = await Promise.all(connections.map(c => c.received));
    await stopped;
    const served = answers.filter(text => text.startsWith('HTTP/1.1 200'));
    chai.expect(upstream.requests.length).equal(served.length);
  });
});
