import * as crypto from 'node:crypto';
import * as chai from 'chai';
import * as configuration from '@amaranthknot/configuration';
import * as jsonwebtoken from 'jsonwebtoken';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as rawCaller from './support/raw-caller.js';

const CHAT = '/v1/chat/completions';

const toBody = (extra: object): string =>
  JSON.stringify({
    model: 'answers',
    messages: [{role: 'user', content: 'hello'}],
    ...extra,
  });

/** Status and code of an error answer, whose request must not have run. */
const refusalOf = (answer: fixtures.RawAnswer): string => {
  const error = rawCaller.checkError(answer.text);
  chai.assert.strictEqual(error.ran, 'not_run');
  return `${answer.status} ${error.code}`;
};

describe('bad input', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  let address: string;

  before(async () => {
    deployment = await fixtures.startDeployment({
      limits: {headerTimeoutMs: 200, maxHeaderBytes: 8_192},
    });
    address = deployment.addresses[0] ?? '';
  });

  after(() => deployment.stop());

  const startedCount = (): number =>
    [...deployment.fakes.engines.values()].reduce(
      (sum, engine) => sum + engine.started.length,
      0,
    );

  const BODIES: Readonly<Record<string, string>> = {
    empty: '',
    'not JSON': '{"model":',
    'a number': '1',
    null: 'null',
    'a list': '[]',
    'no messages': toBody({messages: undefined}),
    'messages as a string': toBody({messages: 'hello'}),
    'an empty list of messages': toBody({messages: []}),
    'a message as a string': toBody({messages: ['hello']}),
    'too many messages': toBody({
      messages: Array.from({length: 1_001}, () => ({
        role: 'user',
        content: '',
      })),
    }),
    'a model as a number': toBody({model: 1}),
    'a model name that is too long': toBody({model: 'm'.repeat(257)}),
    'stream as a string': toBody({stream: 'yes'}),
    'a negative length': toBody({max_tokens: -1}),
    'metadata as a list': toBody({metadata: [1]}),
    'bytes that are not text': '\u00ff\u00fe\u0000',
  };
  for (const [name, body] of Object.entries(BODIES)) {
    it(`refuses a body: ${name}`, async () => {
      const before = startedCount();
      const answer = await fixtures.send(address, CHAT, {body});
      chai.assert.strictEqual(refusalOf(answer), '400 invalid_request');
      chai.assert.strictEqual(startedCount(), before);
    });
  }

  it('refuses a body of 10 MB', async () => {
    const body = toBody({messages: [{role: 'u', content: 'x'.repeat(1e7)}]});
    const reply = await rawCaller.exchange(
      address,
      `POST ${CHAT} HTTP/1.1\r\nhost: a\r\n` +
        `authorization: Bearer ${fixtures.keyOf('north')}\r\n` +
        `content-length: ${body.length}\r\n\r\n${body.slice(0, 1e5)}`,
    );
    const error = rawCaller.checkError(reply.body);
    chai.assert.strictEqual(reply.status, 413);
    chai.assert.strictEqual(error.code, 'invalid_request');
  });

  it('refuses keys of no workspace', async () => {
    for (const authorization of [
      '',
      'Bearer',
      'Bearer ',
      'Basic abc',
      'Bearer other',
      `Bearer ${fixtures.keyOf('north')}x`,
    ]) {
      const answer = await fixtures.send(address, CHAT, {
        body: toBody({}),
        headers: {authorization},
      });
      chai.assert.strictEqual(refusalOf(answer), '401 invalid_key');
    }
  });

  it("refuses another workspace's model and service as unknown", async () => {
    const model = await fixtures.chat(address, 'hi', {model: 'small@v1'});
    chai.assert.strictEqual(refusalOf(model), '404 model_not_found');
    const service = await fixtures.send(address, '/services/bookings/seats', {
      workspace: 'south',
      body: {},
      headers: {'idempotency-key': 'k'},
    });
    chai.assert.strictEqual(refusalOf(service), '404 service_not_found');
  });

  describe('session tokens', () => {
    const sign = (
      claims: object,
      options: jsonwebtoken.SignOptions = {},
      key?: string,
    ): string => {
      const {secrets} = deployment.instances[0]!.resolve('options');
      return jsonwebtoken.default.sign(claims, key ?? secrets.sessionKey, {
        algorithm: 'HS256',
        expiresIn: 60,
        ...options,
      });
    };
    const own = {ws: 'north', sid: 's', pins: {}};
    const TOKENS: readonly (readonly [string, () => string])[] = [
      ['expired', () => sign(own, {expiresIn: -1})],
      ['forged', () => sign(own, {}, 'another key')],
      ['of another algorithm', () => sign(own, {algorithm: 'HS512'})],
      ['unsigned', () => sign(own, {algorithm: 'none'}, '')],
      ['of another workspace', () => sign({...own, ws: 'south'})],
      ['without pins', () => sign({ws: 'north', sid: 's'})],
      [
        'without expiry',
        () =>
          jsonwebtoken.default.sign(
            own,
            deployment.instances[0]!.resolve('options').secrets.sessionKey,
          ),
      ],
      ['that is not a token', () => 'abc'],
    ];
    for (const [name, createToken] of TOKENS) {
      it(`refuses one ${name}`, async () => {
        const headers = {'x-session-token': createToken()};
        const answer = await fixtures.chat(address, 'hi', {headers});
        chai.assert.strictEqual(refusalOf(answer), '400 invalid_session');
      });
    }

    it('accepts its own, and refuses it from another workspace', async () => {
      const first = await fixtures.chat(address, 'hi');
      const token = first.headers.get('x-session-token') ?? '';
      const headers = {'x-session-token': token};
      const again = await fixtures.chat(address, 'hi', {headers});
      chai.assert.strictEqual(again.status, 200);
      const other = await fixtures.chat(address, 'hi', {
        headers,
        workspace: 'south',
      });
      chai.assert.strictEqual(refusalOf(other), '400 invalid_session');
    });
  });

  it('refuses too many or too long headers', async () => {
    for (const flood of [
      `x: ${'y'.repeat(20_000)}\r\n`,
      Array.from({length: 2_000}, (_, i) => `x${i}: yyyyy\r\n`).join(''),
    ]) {
      const reply = await rawCaller.exchange(
        address,
        `GET /healthz HTTP/1.1\r\nhost: a\r\n${flood}connection: close\r\n\r\n`,
      );
      chai.assert.strictEqual(reply.status, 431);
      const error = rawCaller.checkError(reply.body);
      chai.assert.strictEqual(error.code, 'invalid_request');
    }
  });

  it('refuses invalid HTTP, and unknown or invalid paths', async () => {
    for (const bytes of [
      'hello\r\n\r\n',
      'GET /v1/%zz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
      'GET /nothing HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
      'POST /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
      `POST ${CHAT} HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n`,
    ]) {
      const reply = await rawCaller.exchange(address, bytes);
      chai.assert.include([400, 404], reply.status, bytes);
      const error = rawCaller.checkError(reply.body);
      chai.assert.strictEqual(error.ran, 'not_run');
    }
  });

  // A caller that sends its request head byte by byte holds a connection open
  // for ever; a thousand of them take all the connections that the instance may
  // open.
  it('closes the connection of a caller that does not complete its request head', async () => {
    const socket = rawCaller.connect(address);
    const reading = rawCaller.readToEnd(socket);
    socket.write('GET /healthz HTTP/1.1\r\nhost: a\r\n');
    const reply = await reading;
    chai.assert.strictEqual(reply.status, 408);
    const error = rawCaller.checkError(reply.body);
    chai.assert.strictEqual(error.ran, 'not_run');
  });

  it('still serves valid requests afterwards', async () => {
    const answer = await fixtures.chat(address, 'hello');
    chai.assert.strictEqual(answer.status, 200);
  });
});

describe('limits set in the document', () => {
  it('apply to the lifetime of session tokens', async () => {
    const text = `${fixtures.createDocumentText()}
[sessions]
token_max_age_ms = 90000
`;
    const document = configuration
      .parseDocument(text, 'test.toml')
      .mapLeft(problems => new Error(JSON.stringify(problems)))
      .unsafeCoerce();
    const deployment = await fixtures.startDeployment({
      document,
    });
    const [address = ''] = deployment.addresses;
    const answer = await fixtures.chat(address, 'hi');
    const token = answer.headers.get('x-session-token') ?? '';
    const claims = jsonwebtoken.default.decode(
      token,
    ) as jsonwebtoken.JwtPayload;
    chai.assert.strictEqual((claims.exp ?? 0) - (claims.iat ?? 0), 90);
    await deployment.stop();
  });
});

describe('callers that disconnect', () => {
  // A caller disconnects while it waits for admission behind a stuck request.
  // Its queue entry must be removed and its work never start; otherwise callers
  // that are gone are served before those that still wait.
  it('are removed from the admission queue', async () => {
    const deployment = await fixtures.startDeployment({
      limits: {maxInFlight: 1},
    });
    const [address = ''] = deployment.addresses;
    const instance = deployment.instances[0]!;
    const engines = [...deployment.fakes.engines.values()];
    engines.forEach(engine => (engine.fault = 'silent'));
    const first = new AbortController();
    const ask = (signal: AbortSignal) =>
      fetch(`http://${address}${CHAT}`, {
        method: 'POST',
        signal,
        headers: {authorization: `Bearer ${fixtures.keyOf('north')}`},
        body: toBody({id: crypto.randomUUID()}),
      }).then(
        answer => answer.status,
        () => 0,
      );
    const until = async (holds: () => boolean): Promise<void> => {
      while (!holds()) {
        await new Promise(resolve => setImmediate(resolve));
      }
    };
    const admission = instance.resolve('admission');
    const running = ask(first.signal);
    await until(() => admission.inFlight === 1);
    const second = new AbortController();
    const waiting = ask(second.signal);
    await until(() => admission.queued === 1);
    second.abort();
    await waiting;
    await until(() => admission.queued === 0);
    const count = () =>
      engines.reduce((sum, engine) => sum + engine.started.length, 0);
    chai.assert.isAtMost(count(), 1);
    first.abort();
    await running;
    await until(() => admission.inFlight === 0);
    chai.assert.isAtMost(count(), 1);
    await deployment.stop();
  });
});
