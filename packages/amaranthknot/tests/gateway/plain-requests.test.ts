import * as http from 'node:http';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';
import * as rawConnection from './raw-connection.js';

/** Answers every request at once; the body names its target. */
const answerAll: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatAnswer(request, `answer to ${request.target}`));
};

describe('plain requests through the gateway', () => {
  let gateway: fixture.GatewayFixture;
  let first: fakes.ScriptedUpstream;
  let second: fakes.ScriptedUpstream;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    first = new fakes.ScriptedUpstream(answerAll);
    second = new fakes.ScriptedUpstream(answerAll);
    await first.start();
    await second.start();
  });

  afterEach(async () => {
    await gateway.stop();
    await first.stop();
    await second.stop();
  });

  it('forwards method, target, body, headers and the answer', async () => {
    await gateway.register('i-1', first);
    const answer = await gateway.call({
      path: '/book/a%20b?x=1&y=%2F',
      method: 'POST',
      id: 'attempt-1',
      body: 'hello',
      headers: {'X-Other': 'kept', 'X-Hold': 'forged', 'X-Tenant': 'forged'},
    });
    const [request] = first.requests;
    chai.expect(answer.status).equal(200);
    chai.expect(answer.headers['x-server-seal']).equal('seal');
    chai.expect(request?.target).equal('/book/a%20b?x=1&y=%2F');
    chai.expect(request?.body.toString()).equal('hello');
    chai.expect(request?.headers).include({
      host: fixture.HOST,
      'x-attempt-id': 'attempt-1',
      'x-other': 'kept',
      'x-tenant': 'north',
      'x-expect-instance': 'i-1',
    });
    chai.expect(request?.headers).not.have.any.keys('api-key', 'x-hold');
    const left = Number(request?.headers['x-remaining-milliseconds']);
    chai.expect(left).within(1, 3_000);
  });

  it('refuses a request without time left, and does not send it', async () => {
    // Guards against a booking that is sent on although its caller has left,
    // and is answered in a way that leaves open whether it ran.
    await gateway.register('i-1', first);
    const answer = await gateway.call({
      path: '/book/1',
      method: 'POST',
      headers: {'X-Remaining-Milliseconds': '10'},
    });
    chai.expect(answer.status).equal(503);
    chai.expect(answer.headers['retry-after']).equal('0.000');
    chai.expect(first.requests).length(0);
  });

  it('sends nothing on for a caller that left before an instance had synced', async () => {
    // Guards against work for nobody: a close that is not noticed while the
    // configuration is awaited.
    const address = gateway.settings[0]?.listen.callers;
    if (!address) {
      throw new Error('no instance');
    }
    await gateway.register('i-1', first);
    gateway.store.fault = () => 'down';
    const restarting = gateway.restart(0);
    const {socket} = await rawConnection.connectSoon(address);
    socket.write(rawConnection.formatRead('left'));
    await ports.systemClock.sleep(150);
    socket.destroy();
    await ports.systemClock.sleep(50);
    gateway.store.fault = () => 'none';
    await restarting;
    await gateway.call({path: fixture.PATHS.read, id: 'stayed'});
    const ids = first.requests.map(({headers}) => headers['x-attempt-id']);
    chai.expect(ids).eql(['stayed']);
  });

  it('never returns a late second answer to the next caller', async () => {
    // Guards against a caller that gets the answer of another. The upstream
    // answers a request twice; the second copy arrives while the kept
    // connection carries the next request.
    await gateway.register('i-1', first);
    first.script = ({request, socket, numberOnConnection}) => {
      if (numberOnConnection === 2) {
        socket.write(fakes.formatAnswer(request, 'foreign', {requestId: 'x'}));
      }
      socket.write(fakes.formatAnswer(request, `own ${request.target}`));
    };
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    for (let i = 0; i < 4; i++) {
      const answer = await gateway.call({path: `/read/${i}`, agent});
      if (answer.status === 200) {
        chai.expect(answer.body).equal(`own /read/${i}`);
      }
      chai.expect(answer.body).not.contain('foreign');
    }
    agent.destroy();
  });

  it('closes an idle connection on which unsolicited bytes arrive', async () => {
    // The upstream sends a second answer right after the first. Guards against
    // reusing the idle connection, where the next caller would get these bytes.
    await gateway.register('i-1', first);
    first.script = ({request, socket}) => {
      socket.write(fakes.formatAnswer(request, 'own'));
      setTimeout(() => socket.write(fakes.formatAnswer(request, 'extra')), 5);
    };
    await gateway.call({path: fixture.PATHS.read});
    await fixture.waitUntil(() => first.connections === 1);
    await new Promise(resolve => setTimeout(resolve, 30));
    const answer = await gateway.call({path: fixture.PATHS.read});
    chai.expect(answer.body).equal('own');
    chai.expect(first.connections).equal(2);
  });

  ['with its last bytes', 'later'].forEach(when => {
    it(`does not treat an answer that is reset ${when} as complete`, async () => {
      // An answer without a length ends when its connection closes, and so does
      // one cut by a crash; only a reset tells them apart. A reader that
      // handles both events alike would pass half an answer on as complete.
      await gateway.register('i-1', first);
      first.script = ({request, socket}) => {
        socket.write(fakes.formatUnframedHead(request) + 'half of');
        if (when === 'later') {
          setTimeout(() => socket.resetAndDestroy(), 20);
        } else {
          socket.resetAndDestroy();
        }
      };
      const answer = await gateway.call({
        path: fixture.PATHS.book,
        method: 'POST',
      });
      chai.expect(answer.status).equal(502);
      chai.expect(answer.body).not.contain('half of');
    });
  });

  it('does not treat an answer in a coding other than chunks as framed', async () => {
    // Guards against half an answer that is passed on after a reset.
    await gateway.register('i-1', first);
    first.script = ({request, socket}) => {
      const [head = ''] = fakes.formatUnframedHead(request).split('\r\n\r\n');
      socket.write(`${head}\r\nTransfer-Encoding: identity\r\n\r\nhalf of`);
      socket.resetAndDestroy();
    };
    const answer = await gateway.call({
      path: fixture.PATHS.book,
      method: 'POST',
    });
    chai.expect(answer.status).equal(502);
    chai.expect(answer.body).not.contain('half of');
  });

  it('forwards an answer without a length when its connection was closed', async () => {
    await gateway.register('i-1', first);
    first.script = ({request, socket}) => {
      socket.end(fakes.formatUnframedHead(request) + 'all of it');
    };
    const answer = await gateway.call({path: fixture.PATHS.read});
    chai.expect([answer.status, answer.body]).eql([200, 'all of it']);
  });

  const unknownOutcomes: readonly {
    readonly name: string;
    readonly script: fakes.UpstreamScript;
  }[] = [
    {
      name: 'a reset before the answer',
      script: ({socket}) => {
        socket.resetAndDestroy();
      },
    },
    {
      name: 'a close before the answer',
      script: ({socket}) => {
        socket.end();
      },
    },
    {
      name: 'bytes that are no answer',
      script: ({socket}) => {
        socket.end('garbage\r\n\r\n');
      },
    },
    {
      name: 'an answer to another request',
      script: ({request, socket}) => {
        socket.write(fakes.formatAnswer(request, 'x', {requestId: 'other'}));
      },
    },
    {
      name: 'a truncated answer',
      script: ({request, socket}) => {
        const whole = fakes.formatAnswer(request, 'a long body');
        socket.end(whole.slice(0, -4));
      },
    },
  ];

  unknownOutcomes.forEach(({name, script}) => {
    it(`sends a booking once and reports no outcome after ${name}`, async () => {
      // The connection fails after the request was sent, so it may have run.
      // Guards against sending it again, which could book a seat twice, and
      // against answering `not run` although it ran.
      await gateway.register('i-1', first);
      await gateway.register('i-2', second);
      first.script = script;
      second.script = script;
      const answer = await gateway.call({
        path: fixture.PATHS.book,
        method: 'POST',
      });
      chai.expect(answer.status).equal(502);
      chai.expect(first.requests.length + second.requests.length).equal(1);
    });

    it(`retries an idempotent request on another upstream after ${name}`, async () => {
      await gateway.register('i-1', first);
      await gateway.register('i-2', second);
      let failed = false;
      const failOnce: fakes.UpstreamScript = exchange => {
        (failed ? answerAll : script)(exchange);
        failed = true;
      };
      first.script = failOnce;
      second.script = failOnce;
      const answer = await gateway.call({path: fixture.PATHS.read});
      chai.expect(answer.status).equal(200);
    });
  });

  it('sends a booking to another upstream after one that did not run it', async () => {
    await gateway.register('i-1', first);
    await gateway.register('i-2', second);
    const refuse: fakes.UpstreamScript = ({request, socket, number}) => {
      const total = first.requests.length + second.requests.length;
      socket.write(
        total === 1
          ? fakes.formatNotRun(request)
          : fakes.formatAnswer(request, `${number}`),
      );
    };
    first.script = refuse;
    second.script = refuse;
    const answer = await gateway.call({
      path: fixture.PATHS.book,
      method: 'POST',
    });
    chai.expect(answer.status).equal(200);
    chai.expect(first.requests.length + second.requests.length).equal(2);
  });

  it('answers not run with Retry-After if no upstream ran it', async () => {
    await gateway.register('i-1', first);
    first.script = ({request, socket}) => {
      socket.write(fakes.formatNotRun(request));
    };
    const answer = await gateway.call({
      path: fixture.PATHS.book,
      method: 'POST',
    });
    chai.expect(answer.status).equal(503);
    chai.expect(Number(answer.headers['retry-after'])).greaterThan(0);
  });

  it('tries a second upstream when the first one hangs', async () => {
    // The upstream is healthy by its health check and accepts the request, but
    // never answers.
    await gateway.register('i-1', first);
    await gateway.register('i-2', second);
    let hung = false;
    const hangOnce: fakes.UpstreamScript = exchange => {
      if (hung) {
        answerAll(exchange);
      }
      hung = true;
    };
    first.script = hangOnce;
    second.script = hangOnce;
    const answer = await gateway.call({path: fixture.PATHS.read});
    chai.expect(answer.status).equal(200);
  });

  it('does not reuse a connection whose request body was cut short', async () => {
    // An upstream may refuse a long body before it has read all of it, and read
    // on later. On a reused connection it would read the next request as the
    // rest of that body.
    await gateway.register('i-1', first);
    const body = 'x'.repeat(900_000);
    first.script = () => undefined;
    const early = new fakes.ScriptedUpstream(() => undefined);
    await early.start();
    await gateway.register('i-early', early);
    const answer = await gateway.call({
      path: fixture.PATHS.read,
      method: 'POST',
      body,
      headers: {'X-Remaining-Milliseconds': '500'},
    });
    chai.expect([502, 503, 504]).include(answer.status);
    await early.stop();
  });

  const denials: readonly {
    readonly name: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly status: number;
  }[] = [
    {name: 'an unknown path', path: '/none/1', headers: {}, status: 404},
    {
      name: 'an unknown host',
      path: fixture.PATHS.read,
      headers: {Host: 'other.example'},
      status: 404,
    },
    {
      name: 'an unknown key',
      path: fixture.PATHS.read,
      headers: {'Api-Key': 'nobody'},
      status: 401,
    },
  ];

  denials.forEach(({name, path, headers, status}) => {
    it(`denies ${name} with ${status}`, async () => {
      await gateway.register('i-1', first);
      const answer = await gateway.call({path, headers});
      chai.expect(answer.status).equal(status);
      chai.expect(first.requests).empty;
    });
  });
});
