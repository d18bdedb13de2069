import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';

const NAMES = platform.HEADER_NAMES;

const LEAVING = {[NAMES.leaving]: '1'};

const answer: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatAnswer(request, 'whole'));
};

const answerLeaving: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatAnswer(request, 'whole', {headers: LEAVING}));
};

const refuseLeaving: fakes.UpstreamScript = ({request, socket}) => {
  const headers = {...LEAVING, [NAMES.notRun]: '1'};
  socket.write(fakes.formatAnswer(request, '', {status: 503, headers}));
};

/** What another upstream at that address answers. */
const misdirect: fakes.UpstreamScript = ({request, socket}) => {
  const headers = {...LEAVING, [NAMES.notRun]: '1'};
  socket.write(fakes.formatAnswer(request, '', {status: 421, headers}));
};

const stream =
  (headers: Readonly<Record<string, string>>): fakes.UpstreamScript =>
  ({request, socket}) => {
    const event = fakes.formatChunk(fakes.formatEvent(1));
    socket.write(
      fakes.formatStreamHead(request, {headers}) + event + fakes.LAST_CHUNK,
    );
  };

describe('an upstream that says in an answer that it is leaving', () => {
  let gateway: fixture.GatewayFixture;
  let leaving: fakes.ScriptedUpstream;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    leaving = new fakes.ScriptedUpstream(answer);
    await leaving.start();
    // Its entry stays `ready`.
    await gateway.register('leaving', leaving);
  });

  afterEach(async () => {
    await gateway.stop();
    await leaving.stop();
  });

  const call = (path: string) =>
    gateway.call({path, method: 'POST', body: 'x'});

  const unregister = async (): Promise<void> => {
    const {store, instances} = gateway;
    const kind = platform.STORE_KINDS.upstreams;
    const entry = (await store.get(kind, 'leaving')).unsafeCoerce();
    await store.delete(kind, 'leaving', entry.version);
    await fixture.waitUntil(() =>
      instances.every(instance => !instance.knowsUpstream('leaving')),
    );
  };

  const answers: readonly {
    readonly name: string;
    readonly path: string;
    readonly script: fakes.UpstreamScript;
  }[] = [
    {
      name: 'a whole answer',
      path: fixture.PATHS.read,
      script: answerLeaving,
    },
    {
      name: 'the head of a stream',
      path: fixture.PATHS.stream,
      script: stream(LEAVING),
    },
    {name: 'a refusal', path: fixture.PATHS.book, script: refuseLeaving},
  ];

  answers.forEach(({name, path, script}) => {
    it(`gets no request of any kind after ${name}`, async () => {
      // Guards against requests that reach an engine that is about to exit.
      leaving.script = script;
      await call(path);
      chai.expect(leaving.requests).length(1);
      for (const next of Object.values(fixture.PATHS)) {
        const {status} = await call(next);
        chai.expect(status).equal(503);
      }
      chai.expect(leaving.requests).length(1);
    });
  });

  it('gets none when its entry is gone for a while', async () => {
    // Guards against a notice that is forgotten with a lapsed entry.
    leaving.script = answerLeaving;
    await call(fixture.PATHS.read);
    await unregister();
    await gateway.register('leaving', leaving);
    const {status} = await call(fixture.PATHS.read);
    chai.expect(status).equal(503);
    chai.expect(leaving.requests).length(1);
  });

  it('gets requests after it has started again under its id', async () => {
    leaving.script = answerLeaving;
    await call(fixture.PATHS.read);
    leaving.script = answer;
    await unregister();
    await gateway.register('leaving', leaving, {born: 2});
    const {status} = await call(fixture.PATHS.read);
    chai.expect(status).equal(200);
  });

  it('is not taken for the upstream that had its address before', async () => {
    leaving.script = misdirect;
    await call(fixture.PATHS.read);
    leaving.script = answer;
    const {status} = await call(fixture.PATHS.read);
    chai.expect(status).equal(200);
  });
});
