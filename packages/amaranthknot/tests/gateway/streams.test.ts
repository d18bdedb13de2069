import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fixture from './gateway-fixture.js';

const LENGTH = 5;

/** Pause between two bytes of an event without end, in milliseconds. */
const BYTE_PAUSE_MS = 50;

/** Longer than the gap target of the routes in the fixture, in milliseconds. */
const LONG_PAUSE_MS = 800;

/**
 * Longer than the time after which a silent upstream is probed, shorter than
 * that after which it is probed again, in milliseconds.
 */
const SHORT_SILENCE_MS = 420;

/** Events after `Last-Event-Id`, and the end of the stream. */
const restOfStream = (request: fakes.ParsedRequest): string => {
  const from = Number(request.headers['last-event-id'] ?? 0) + 1;
  let text = '';
  for (let id = from; id <= LENGTH; id++) {
    text += fakes.formatChunk(fakes.formatEvent(id));
  }
  return text + fakes.LAST_CHUNK;
};

const wholeStream: fakes.UpstreamScript = ({request, socket}) => {
  socket.write(fakes.formatStreamHead(request) + restOfStream(request));
};

const expectedBody = (): string => {
  let text = '';
  for (let id = 1; id <= LENGTH; id++) {
    text += fakes.formatEvent(id);
  }
  return text;
};

/**
 * Runs `broken` for the first request on any upstream, `wholeStream`
 * afterwards.
 */
const breakFirst = (broken: fakes.UpstreamScript): fakes.UpstreamScript => {
  let isFirst = true;
  return exchange => {
    const script = isFirst ? broken : wholeStream;
    isFirst = false;
    script(exchange);
  };
};

/** Resets the connection after the first event. */
const cutAfterOne: fakes.UpstreamScript = ({request, socket}) => {
  const text = fakes.formatChunk(fakes.formatEvent(1));
  socket.write(fakes.formatStreamHead(request) + text);
  setTimeout(() => socket.resetAndDestroy(), 20);
};

describe('streams through the gateway', () => {
  let gateway: fixture.GatewayFixture;
  let first: fakes.ScriptedUpstream;
  let second: fakes.ScriptedUpstream;

  beforeEach(async () => {
    gateway = await fixture.startGateway();
    first = new fakes.ScriptedUpstream(wholeStream);
    second = new fakes.ScriptedUpstream(wholeStream);
    await first.start();
    await second.start();
    await gateway.register('i-1', first);
    await gateway.register('i-2', second);
  });

  afterEach(async () => {
    await gateway.stop();
    await first.stop();
    await second.stop();
  });

  /** The callers' requests that reached an upstream. */
  const all = (): readonly fakes.ParsedRequest[] =>
    [...first.requests, ...second.requests].filter(
      ({target}) => target !== '/health',
    );

  it('stays with an upstream that is out of reach for a moment', async () => {
    // Guards against a stream that runs twice after a short silence.
    [first, second].forEach(upstream => {
      upstream.script = exchange => {
        upstream.refuseConnections();
        setTimeout(() => {
          wholeStream(exchange);
        }, SHORT_SILENCE_MS);
      };
    });
    const answer = await gateway.call({
      path: fixture.PATHS.stream,
      method: 'POST',
    });
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(all()).length(1);
  });

  it('forwards a whole stream', async () => {
    const answer = await gateway.call({
      path: fixture.PATHS.stream,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(answer.isComplete).equal(true);
    chai.expect(all()).length(1);
  });

  const breaks: readonly {
    readonly name: string;
    readonly script: fakes.UpstreamScript;
  }[] = [
    {
      name: 'a reset between events',
      script: ({request, socket}) => {
        const events = fakes.formatEvent(1) + fakes.formatEvent(2);
        const text = fakes.formatChunk(events);
        socket.write(fakes.formatStreamHead(request) + text);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    },
    {
      name: 'a reset in the middle of an event',
      script: ({request, socket}) => {
        const torn = fakes.formatEvent(1) + fakes.formatEvent(2).slice(0, 7);
        socket.write(fakes.formatStreamHead(request) + fakes.formatChunk(torn));
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    },
    {
      name: 'an end in the middle of an event',
      script: ({request, socket}) => {
        const torn = fakes.formatEvent(1) + fakes.formatEvent(2).slice(0, 7);
        socket.write(
          fakes.formatStreamHead(request) +
            fakes.formatChunk(torn) +
            fakes.LAST_CHUNK,
        );
      },
    },
    {
      name: 'a reset in the middle of an event of an unframed stream',
      script: ({request, socket}) => {
        const torn = fakes.formatEvent(1) + fakes.formatEvent(2).slice(0, 7);
        socket.write(fakes.formatUnframedHead(request) + torn);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    },
    {
      name: 'a close in the middle of an event of an unframed stream',
      script: ({request, socket}) => {
        const torn = fakes.formatEvent(1) + fakes.formatEvent(2).slice(0, 7);
        socket.end(fakes.formatUnframedHead(request) + torn);
      },
    },
    {
      name: 'a reset between events of an unframed stream',
      script: ({request, socket}) => {
        socket.write(fakes.formatUnframedHead(request) + fakes.formatEvent(1));
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
    },
    {
      name: 'a close of an unframed stream before its first event',
      script: ({request, socket}) => {
        socket.end(fakes.formatUnframedHead(request));
      },
    },
    {
      name: 'a missing event',
      script: ({request, socket}) => {
        const events = fakes.formatEvent(1) + fakes.formatEvent(3);
        socket.write(
          fakes.formatStreamHead(request) +
            fakes.formatChunk(events) +
            fakes.LAST_CHUNK,
        );
      },
    },
    {
      name: 'a duplicate event',
      script: ({request, socket}) => {
        const events = fakes.formatEvent(1) + fakes.formatEvent(1);
        socket.write(
          fakes.formatStreamHead(request) +
            fakes.formatChunk(events) +
            fakes.LAST_CHUNK,
        );
      },
    },
    {
      name: 'a stall longer than the gap target',
      script: ({request, socket}) => {
        const text = fakes.formatChunk(fakes.formatEvent(1));
        socket.write(fakes.formatStreamHead(request) + text);
      },
    },
    {
      name: 'bytes that end no event for longer than the gap target',
      script: ({request, socket}) => {
        const text = fakes.formatChunk(fakes.formatEvent(1));
        socket.write(fakes.formatStreamHead(request) + text);
        const timer = setInterval(() => {
          socket.write(fakes.formatChunk('x'));
        }, BYTE_PAUSE_MS);
        socket.once('close', () => {
          clearInterval(timer);
        });
      },
    },
    {
      name: 'a failure of the upstream before the first event',
      script: ({request, socket}) => {
        socket.write(fakes.formatAnswer(request, 'bad', {status: 500}));
      },
    },
  ];

  breaks.forEach(({name, script}) => {
    it(`resumes on another upstream after ${name}`, async () => {
      // Guards against a stream that ends early, or lacks or repeats a part.
      const shared = breakFirst(script);
      first.script = shared;
      second.script = shared;
      const answer = await gateway.call({
        path: fixture.PATHS.stream,
        method: 'POST',
        body: 'prompt',
      });
      chai.expect(answer.body).equal(expectedBody());
      chai.expect(answer.isComplete).equal(true);
      chai.expect(first.requests).length(1);
      chai.expect(second.requests).length(1);
    });
  });

  it('resumes on another upstream after a stall before the first event', async () => {
    // Guards against a caller that spends all its time on an upstream that
    // hangs.
    const shared = breakFirst(() => undefined);
    first.script = shared;
    second.script = shared;
    const answer = await gateway.call({
      path: fixture.PATHS.stream,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(all()).length(2);
  });

  it('stays on a stalled upstream if no other takes the request', async () => {
    // An engine stalls for longer than the gap target while it prefills the
    // long prompt of another request. Guards against giving the stream up when
    // no other upstream can continue it: the answer would be cut in the middle.
    const pausing: fakes.UpstreamScript = ({request, socket}) => {
      const begin = fakes.formatChunk(fakes.formatEvent(1));
      socket.write(fakes.formatStreamHead(request) + begin);
      let rest = '';
      for (let id = 2; id <= LENGTH; id++) {
        rest += fakes.formatChunk(fakes.formatEvent(id));
      }
      setTimeout(() => socket.write(rest + fakes.LAST_CHUNK), LONG_PAUSE_MS);
    };
    first.script = pausing;
    await gateway.store.delete('servers', 'i-2', await versionOf('i-2'));
    await fixture.waitUntil(
      () => !gateway.instances[0]?.knowsUpstream('i-2'),
      'the removal of the other upstream',
    );
    const answer = await gateway.call({
      path: fixture.PATHS.stream,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(answer.isComplete).equal(true);
    chai.expect(all()).length(1);
  });

  const versionOf = async (id: string): Promise<number> => {
    const found = await gateway.store.get('servers', id);
    return found.unsafeCoerce().version;
  };

  it('forwards a whole unframed stream, in one attempt', async () => {
    const unframed: fakes.UpstreamScript = ({request, socket}) => {
      socket.end(fakes.formatUnframedHead(request) + expectedBody());
    };
    first.script = unframed;
    second.script = unframed;
    const answer = await gateway.call({
      path: fixture.PATHS.stream,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(answer.isComplete).equal(true);
    chai.expect(all()).length(1);
  });

  it('aborts an unframed stream that ends within an event, if it may not be resumed', async () => {
    // Guards against half an event that the caller takes for the whole stream.
    const torn: fakes.UpstreamScript = ({request, socket}) => {
      const events = fakes.formatEvent(1) + fakes.formatEvent(2).slice(0, 7);
      socket.end(fakes.formatUnframedHead(request) + events);
    };
    first.script = torn;
    second.script = torn;
    const answer = await gateway.call({
      path: fixture.PATHS.once,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.isComplete).equal(false);
    chai.expect(answer.body).equal(fakes.formatEvent(1));
    chai.expect(all()).length(1);
  });

  it('aborts a broken stream that may not be resumed', async () => {
    // A truncated stream must not look complete: the connection to the caller
    // is closed without the last chunk.
    first.script = cutAfterOne;
    second.script = cutAfterOne;
    const answer = await gateway.call({
      path: fixture.PATHS.once,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.isComplete).equal(false);
    chai.expect(all()).length(1);
  });

  it('resets the connection of a broken stream where the caller takes no chunks', async () => {
    // Guards against a broken stream whose only end marker is a close in order.
    first.script = cutAfterOne;
    second.script = cutAfterOne;
    const address = gateway.settings[0]?.listen.callers;
    if (!address) {
      throw new Error('no instance');
    }
    const socket = net.connect(address);
    const end = await new Promise<string>(resolve => {
      socket.once('end', () => {
        resolve('closed in order');
      });
      socket.once('error', ({message}) => {
        resolve(message);
      });
      socket.resume();
      socket.write(
        `POST ${fixture.PATHS.once} HTTP/1.0\r\n` +
          `Host: ${fixture.HOST}\r\n` +
          'X-Attempt-Id: http-1.0\r\n' +
          'X-Remaining-Milliseconds: 3000\r\n' +
          `Api-Key: ${fixture.KEY}\r\n` +
          'Content-Length: 0\r\n\r\n',
      );
    });
    chai.expect(end).contain('ECONNRESET');
  });

  it('closes the upstream connection when the caller disconnects', async () => {
    // Guards against upstreams that work for callers that are gone, so that
    // queues grow.
    let closed = 0;
    const endless: fakes.UpstreamScript = ({request, socket}) => {
      socket.once('close', () => {
        closed++;
      });
      const text = fakes.formatChunk(fakes.formatEvent(1));
      socket.write(fakes.formatStreamHead(request) + text);
    };
    first.script = endless;
    second.script = endless;
    const request = http.request({
      ...gateway.settings[0]?.listen.callers,
      method: 'POST',
      path: fixture.PATHS.once,
      headers: {
        Host: fixture.HOST,
        'X-Attempt-Id': 'leaves',
        'Api-Key': fixture.KEY,
      },
    });
    request.on('error', () => undefined);
    request.once('response', response => {
      response.once('data', () => request.destroy());
    });
    request.end('prompt');
    await fixture.waitUntil(
      () => closed === 1,
      'the upstream connection to close',
    );
  });

  const GENERATION = {
    'X-Model': '*',
    'X-Token-Counts': '1000,500',
    'X-Prompt-Prefix': 'a:600,b:400',
  };

  /** Answers with the confidence given for the requested model. */
  const withConfidence =
    (confidence: Readonly<Record<string, string>>): fakes.UpstreamScript =>
    ({request, socket}) => {
      const model = request.headers['x-model'] ?? '';
      const head = fakes.formatStreamHead(request, {
        headers: {'X-Confidence': confidence[model] ?? '0', 'X-Said-By': model},
      });
      socket.write(head + restOfStream(request));
    };

  it('uses the cheap model when its confidence is high', async () => {
    const script = withConfidence({small: '95', large: '100'});
    first.script = script;
    second.script = script;
    const answer = await gateway.call({
      path: fixture.PATHS.model,
      method: 'POST',
      headers: GENERATION,
      body: 'prompt',
    });
    chai.expect(answer.headers['x-said-by']).equal('small');
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(all()).length(1);
  });

  it('escalates to the capable model when confidence is low', async () => {
    const models: (string | undefined)[] = [];
    const answerWithLowConfidence = withConfidence({small: '10', large: '100'});
    const script: fakes.UpstreamScript = exchange => {
      models.push(exchange.request.headers['x-model']);
      answerWithLowConfidence(exchange);
    };
    first.script = script;
    second.script = script;
    const answer = await gateway.call({
      path: fixture.PATHS.model,
      method: 'POST',
      headers: GENERATION,
      body: 'prompt',
    });
    chai.expect(answer.headers['x-said-by']).equal('large');
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(models).eql(['small', 'large']);
    chai.expect(all()).length(2);
  });

  it('returns the low-confidence answer when no upstream takes the capable model', async () => {
    // Guards against an error for the caller although an answer was generated.
    const {store, instances} = gateway;
    const entry = (await store.get('servers', 'i-2')).unsafeCoerce();
    await store.delete('servers', 'i-2', entry.version);
    await fixture.waitUntil(() =>
      instances.every(instance => !instance.knowsUpstream('i-2')),
    );
    first.script = ({request, socket}) => {
      const headers = {'X-Confidence': '10', 'Server-Limit': '0.1'};
      const head = fakes.formatStreamHead(request, {headers});
      socket.write(head + restOfStream(request));
    };
    const answer = await gateway.call({
      path: fixture.PATHS.model,
      method: 'POST',
      headers: GENERATION,
      body: 'prompt',
    });
    chai.expect(answer.status).equal(200);
    chai.expect(answer.body).equal(expectedBody());
    chai.expect(all()).length(1);
  });

  it('sets the priority of a prompt itself and ignores the one a caller sends', async () => {
    // A caller that sets its own priority would delay all others. Engines get
    // only the priority that instances derive from the prompt length.
    const priorities: (string | undefined)[] = [];
    const answerWithHighConfidence = withConfidence({
      small: '95',
      large: '100',
    });
    const script: fakes.UpstreamScript = exchange => {
      priorities.push(exchange.request.headers['x-request-priority']);
      answerWithHighConfidence(exchange);
    };
    first.script = script;
    second.script = script;
    const ask = (counts: string) =>
      gateway.call({
        path: fixture.PATHS.model,
        method: 'POST',
        headers: {
          ...GENERATION,
          'X-Token-Counts': counts,
          'X-Request-Priority': '0',
        },
        body: 'prompt',
      });
    await ask('700,500');
    await ask('9200,500');
    chai.expect(priorities).eql(['1', '5']);
  });
});
