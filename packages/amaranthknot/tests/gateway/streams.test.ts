import * as http from 'node:http';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fixture from './gateway-fixture.js';

const LENGTH = 5;

/** Longer than the longest pause of the fixture's routes, in milliseconds. */
const LONG_PAUSE_MS = 800;

/** Events from the one after `Last-Event-Id` to the last, and the end. */
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

/** Plays `broken` for the first request at any upstream, whole ones after. */
const breakFirst = (broken: fakes.UpstreamScript): fakes.UpstreamScript => {
  let isFirst = true;
  return exchange => {
    const script = isFirst ? broken : wholeStream;
    isFirst = false;
    script(exchange);
  };
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

  const all = (): readonly fakes.ParsedRequest[] => [
    ...first.requests,
    ...second.requests,
  ];

  it('passes a whole stream on', async () => {
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
      name: 'an event that is missing',
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
      name: 'an event that comes twice',
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
      name: 'a silence longer than the longest pause',
      script: ({request, socket}) => {
        const text = fakes.formatChunk(fakes.formatEvent(1));
        socket.write(fakes.formatStreamHead(request) + text);
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
    it(`goes on at another upstream after ${name}`, async () => {
      // A welcome pack arrives cut short, or with a piece missing or doubled.
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

  it('goes on at another upstream after a silence before the first event', async () => {
    // A caller waits out its whole time at an upstream that hangs.
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

  it('stays at a silent upstream while no other takes the request', async () => {
    // A summary breaks off in its middle: its engine read a long prompt of
    // another request and was silent for longer than the longest pause, the
    // stream was given up, and no other upstream was there to go on with it.
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
      'the other upstream to be gone',
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

  it('breaks off a stream that may not be resumed', async () => {
    // A stream of which a part is missing must not look complete: the caller's
    // connection is closed without the mark of its end.
    const cut: fakes.UpstreamScript = ({request, socket}) => {
      const text = fakes.formatChunk(fakes.formatEvent(1));
      socket.write(fakes.formatStreamHead(request) + text);
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    first.script = cut;
    second.script = cut;
    const answer = await gateway.call({
      path: fixture.PATHS.once,
      method: 'POST',
      body: 'prompt',
    });
    chai.expect(answer.isComplete).equal(false);
    chai.expect(all()).length(1);
  });

  it('leaves the upstream when the caller leaves', async () => {
    // Upstreams work for callers that are gone, and queues grow.
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
    await fixture.waitUntil(() => closed === 1, 'the upstream to be left');
  });

  const GENERATION = {
    'X-Model': '*',
    'X-Token-Counts': '1000,500',
    'X-Prompt-Prefix': 'a:600,b:400',
  };

  /** Answers with the confidence that each model has in its answer. */
  const withConfidence =
    (confidence: Readonly<Record<string, string>>): fakes.UpstreamScript =>
    ({request, socket}) => {
      const model = request.headers['x-model'] ?? '';
      const head = fakes.formatStreamHead(request, {
        headers: {'X-Confidence': confidence[model] ?? '0', 'X-Said-By': model},
      });
      socket.write(head + restOfStream(request));
    };

  it('takes the cheap model where it is sure', async () => {
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

  it('takes the capable model where the cheap one is unsure', async () => {
    const models: (string | undefined)[] = [];
    const answerUnsurely = withConfidence({small: '10', large: '100'});
    const script: fakes.UpstreamScript = exchange => {
      models.push(exchange.request.headers['x-model']);
      answerUnsurely(exchange);
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

  it('keeps a weak answer where no upstream takes the capable model', async () => {
    // The caller got a failure, though an answer had been made for it.
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

  it('tells engines the rank of a prompt, and no caller does', async () => {
    // A caller that puts itself first would push all others back; engines are
    // told only what instances work out from the prompt's length.
    const ranks: (string | undefined)[] = [];
    const answerSurely = withConfidence({small: '95', large: '100'});
    const script: fakes.UpstreamScript = exchange => {
      ranks.push(exchange.request.headers['x-request-priority']);
      answerSurely(exchange);
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
    chai.expect(ranks).eql(['1', '5']);
  });
});
