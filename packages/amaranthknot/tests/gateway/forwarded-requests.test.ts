import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as http from 'node:http';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as fixture from './gateway-fixture.js';
import * as links from './links-fixture.js';

const NAMES = platform.HEADER_NAMES;

/** Load after which an instance knows that its links are lost, in ms. */
const DETECTION_MS = 1_200;

/** Answers whole and records nothing else. */
const answerWhole: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatAnswer(request, 'whole'));
};

const breakOff: fakes.UpstreamScript = ({socket}) => {
  socket.resetAndDestroy();
};

const isHealthCheck = ({target}: fakes.ParsedRequest): boolean =>
  target === '/health';

/** Runs `script` for callers' requests, and answers health checks. */
const besidesHealth =
  (script: fakes.UpstreamScript): fakes.UpstreamScript =>
  exchange => {
    (isHealthCheck(exchange.request) ? answerWhole : script)(exchange);
  };

describe('a request that is forwarded to another instance', () => {
  let linked: links.LinkedGateway;

  /** Instance 0 has lost its links, instance 1 has them. */
  beforeEach(async () => {
    linked = await links.startLinkedGateway(2);
    linked.cut(0, 'reset');
    await linked.load(0, DETECTION_MS);
  });

  afterEach(async () => {
    await linked.stop();
  });

  const setScript = (script: fakes.UpstreamScript) => {
    linked.upstreams.forEach(upstream => {
      upstream.script = besidesHealth(script);
    });
  };

  const findRequests = (id: string): readonly fakes.ParsedRequest[] =>
    linked.upstreams.flatMap(({requests}) =>
      requests.filter(
        ({headers}) => headers[NAMES.requestId.toLowerCase()] === id,
      ),
    );

  it('reaches the upstream as its caller sent it, with less time left', async () => {
    const path = `${fixture.PATHS.book}?a=%20b`;
    const answer = await linked.gateway.call({
      path,
      method: 'POST',
      id: 'sent',
      body: 'body',
      headers: {'X-Other': 'kept', [NAMES.workspace]: 'forged'},
    });
    const [request, ...others] = findRequests('sent');
    chai.expect(answer.status).equal(200);
    chai.expect(answer.headers[NAMES.receipt.toLowerCase()]).equal('seal');
    chai.expect(others).length(0);
    chai.expect(request?.target).equal(path);
    chai.expect(request?.method).equal('POST');
    chai.expect(String(request?.body)).equal('body');
    chai.expect(request?.headers['x-other']).equal('kept');
    chai.expect(request?.headers[NAMES.workspace.toLowerCase()]).equal('north');
    chai.expect(request?.headers).not.property(NAMES.apiKey.toLowerCase());
    chai
      .expect(request?.headers)
      .not.property(protocol.FORWARD_HEADERS.request.toLowerCase());
    const timeLeftMs = Number(request?.headers[NAMES.timeLeft.toLowerCase()]);
    chai.expect(timeLeftMs).within(1, 2_999);
  });

  it('is not taken from callers, whatever headers they send', async () => {
    // Guards against a caller that passes by the check of its key.
    const forged = protocol.encodeForwardedRequest({
      configuration: 1,
      route: 'read',
      service: 'svc',
      workspace: 'north',
      attempts: 1,
      sends: 0,
      isRepeat: false,
    });
    const headers = {
      [NAMES.apiKey]: 'unknown',
      [protocol.FORWARD_HEADERS.request]: forged,
    };
    for (const instance of [0, 1]) {
      const call = {path: fixture.PATHS.read, headers};
      const {status} = await linked.gateway.call(call, instance);
      chai.expect(status).equal(401);
    }
  });

  it('runs once, and says nothing of that, if its answer is lost', async () => {
    // Guards against a booking that another instance sends again.
    setScript(breakOff);
    const call = {path: fixture.PATHS.book, method: 'POST', id: 'lost'};
    const {status} = await linked.gateway.call(call);
    chai.expect(status).equal(502);
    chai.expect(findRequests('lost')).length(1);
  });

  it('runs on no more upstreams than its route allows', async () => {
    setScript(breakOff);
    await linked.gateway.call({path: fixture.PATHS.read, id: 'repeated'});
    chai.expect(findRequests('repeated').length).within(1, 3);
  });

  it('is refused as not run if that instance finds no upstream', async () => {
    setScript(({request, socket}) => {
      socket.write(fakes.formatNotRun(request));
    });
    const call = {path: fixture.PATHS.book, method: 'POST'};
    const {status, headers} = await linked.gateway.call(call);
    chai.expect(status).equal(503);
    chai.expect(Number(headers['retry-after'])).above(0);
    chai
      .expect(headers)
      .not.property(protocol.FORWARD_HEADERS.refusal.toLowerCase());
  });

  it('tells both instances what the upstream says about itself', async () => {
    // Guards against requests to an upstream whose notice was passed on.
    setScript(({request, socket}) => {
      const headers = {[NAMES.leaving]: '1'};
      socket.write(fakes.formatAnswer(request, 'whole', {headers}));
    });
    for (const id of ['first', 'second', 'third']) {
      const call = {path: fixture.PATHS.read, id};
      const {status, headers} = await linked.gateway.call(call);
      chai.expect(status).equal(200);
      chai
        .expect(headers)
        .not.property(protocol.FORWARD_HEADERS.upstream.toLowerCase());
    }
    linked.heal(0);
    await ports.systemClock.sleep(1_000);
    for (const instance of [0, 1]) {
      const call = {path: fixture.PATHS.read, id: `after-${instance}`};
      const {status} = await linked.gateway.call(call, instance);
      chai.expect(status).equal(503);
      chai.expect(findRequests(call.id)).length(0);
    }
  });

  it('is dropped by the upstream when its caller leaves', async () => {
    // Guards against work for callers who have left.
    const closed = new Promise<void>(resolve => {
      setScript(({socket}) => {
        socket.once('close', () => {
          resolve();
        });
      });
    });
    const request = http.request({
      ...linked.gateway.settings[0]?.listen.callers,
      path: fixture.PATHS.read,
      headers: {
        Host: fixture.HOST,
        [NAMES.requestId]: 'left',
        [NAMES.timeLeft]: '3000',
        [NAMES.apiKey]: fixture.KEY,
      },
    });
    request.on('error', () => undefined);
    request.end();
    await fixture.waitUntil(() => findRequests('left').length > 0);
    request.destroy();
    await closed;
  });

  it('escalates there, and gets one model from its first event on', async () => {
    setScript(({request, socket}) => {
      const model = request.headers[NAMES.model.toLowerCase()];
      const headers = {[NAMES.confidence]: model === 'small' ? '1' : '99'};
      const event = fakes.formatEvent(1, model);
      socket.write(
        fakes.formatStreamHead(request, {headers}) +
          fakes.formatChunk(event) +
          fakes.LAST_CHUNK,
      );
    });
    const answer = await linked.gateway.call({
      path: fixture.PATHS.model,
      method: 'POST',
      id: 'model',
      headers: {
        [NAMES.model]: '*',
        [NAMES.tokenCounts]: '1000,500',
        [NAMES.promptParts]: '1:900,2:100',
      },
    });
    const models = findRequests('model').map(
      ({headers}) => headers[NAMES.model.toLowerCase()],
    );
    chai.expect(models).eql(['small', 'large']);
    chai.expect(answer.body).equal(fakes.formatEvent(1, 'large'));
    chai
      .expect(answer.headers)
      .not.property(protocol.FORWARD_HEADERS.model.toLowerCase());
  });

  it('goes to upstreams directly again when the links are back', async () => {
    linked.heal(0);
    await ports.systemClock.sleep(1_000);
    const [first] = linked.gateway.instances;
    chai.expect(first?.lostServices()).eql([]);
    const sent = await linked.load(0, 300);
    chai.expect(sent.every(({isServed}) => isServed)).equal(true);
  });
});

describe('a stream that is forwarded to another instance', () => {
  it('goes on at a third instance when that one ends', async () => {
    // Guards against streams that break off with the instance in between.
    const linked = await links.startLinkedGateway(3);
    try {
      linked.cut(0, 'reset');
      await linked.load(0, DETECTION_MS);
      const events = Array.from({length: 12}, (_, index) => index + 1);
      const starts: number[] = [];
      linked.upstreams.forEach(upstream => {
        upstream.script = besidesHealth(({request, socket}) => {
          const first = Number(request.headers['last-event-id'] ?? 0) + 1;
          starts.push(first);
          socket.write(fakes.formatStreamHead(request));
          events
            .filter(id => id >= first)
            .forEach(id => {
              setTimeout(
                () => {
                  socket.write(
                    fakes.formatChunk(fakes.formatEvent(id)) +
                      (id === events.length ? fakes.LAST_CHUNK : ''),
                  );
                },
                (id - first + 1) * 60,
              );
            });
        });
      });
      const answers = Array.from({length: 4}, () =>
        linked.gateway.call({path: fixture.PATHS.stream, method: 'POST'}),
      );
      await ports.systemClock.sleep(250);
      await linked.gateway.instances[1]?.kill();
      const whole = events.map(id => fakes.formatEvent(id)).join('');
      for (const answer of await Promise.all(answers)) {
        chai.expect(answer.isComplete).equal(true);
        chai.expect(answer.body).equal(whole);
      }
      chai.expect(starts.filter(first => first > 1)).not.empty;
    } finally {
      await linked.stop();
    }
  });
});

describe('a planned stop', () => {
  const stopped: readonly {readonly name: string; readonly index: number}[] = [
    {name: 'the instance that took the request', index: 0},
    {name: 'the instance that it is forwarded to', index: 1},
  ];

  stopped.forEach(({name, index}) => {
    it(`cuts no forwarded stream: ${name}`, async () => {
      // Guards against requests that are lost with the instance in between.
      const linked = await links.startLinkedGateway(2);
      try {
        linked.cut(0, 'reset');
        await linked.load(0, DETECTION_MS);
        const events = Array.from({length: 10}, (_, number) => number + 1);
        const whole = events.map(id => fakes.formatEvent(id)).join('');
        linked.upstreams.forEach(upstream => {
          upstream.script = besidesHealth(({request, socket}) => {
            socket.write(fakes.formatStreamHead(request));
            events.forEach(id => {
              const end = id === events.length ? fakes.LAST_CHUNK : '';
              setTimeout(() => {
                socket.write(fakes.formatChunk(fakes.formatEvent(id)) + end);
              }, id * 100);
            });
          });
        });
        const call = {path: fixture.PATHS.stream, method: 'POST'};
        const pending = linked.gateway.call(call);
        await ports.systemClock.sleep(250);
        const stop = linked.gateway.instances[index]?.stop();
        const answer = await pending;
        await stop;
        chai.expect(answer.isComplete).equal(true);
        chai.expect(answer.body).equal(whole);
      } finally {
        await linked.stop();
      }
    });
  });
});

describe('an instance one of whose upstreams is silent for a second', () => {
  it('keeps its links', async () => {
    // Guards against requests that are forwarded for a fault of one upstream.
    const linked = await links.startLinkedGateway(2);
    try {
      const [first] = linked.upstreams;
      const answer = first?.script;
      if (!first || !answer) {
        throw new Error('the fixture started without upstreams');
      }
      const end = ports.systemClock.now() + 1_000;
      first.script = exchange => {
        const waitMs = Math.max(0, end - ports.systemClock.now());
        setTimeout(() => {
          answer(exchange);
        }, waitMs);
      };
      const sent = await linked.load(0, 2_000);
      chai.expect(linked.gateway.instances[0]?.lostServices()).eql([]);
      chai.expect(sent.every(({isServed}) => isServed)).equal(true);
    } finally {
      await linked.stop();
    }
  });
});
