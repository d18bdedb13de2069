import * as http from 'node:http';
import * as chai from 'chai';
import * as fc from 'fast-check';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as rawCaller from './support/raw-caller.js';

const SEED = 20_240_613;

interface Input {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

interface Output {
  readonly status: number;
  readonly type: string;
  readonly body: string;
}

const METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'];

const PATHS = [
  '/v1/chat/completions',
  '/v1/models',
  '/v1/entry-instances',
  '/services/bookings/seats',
  '/services/',
  '/healthz',
  '/readyz',
  '/metrics',
  '/operator/state',
  '/operator/events',
  '/inner/rpc',
  '/',
];

/** Header values that are valid on the wire. */
const headerValue = fc
  .string({unit: fc.constantFrom(...Array.from(' !"%,;=abcABC019{}[]~\u00e9'))})
  .map(text => text.trim());

const path = fc.oneof(
  {weight: 3, arbitrary: fc.constant('/v1/chat/completions')},
  fc.constantFrom(...PATHS),
  fc
    .tuple(
      fc.constantFrom(...PATHS),
      fc.string({unit: fc.constantFrom(...Array.from('abc/%.?&=#2f0@~*{}'))}),
    )
    .map(([start, rest]) => start + rest.replaceAll('#', '')),
  fc.webPath().map(text => `/${text}`),
);

/** Valid bodies with unusual texts: these reach the engines. */
const chatBody = fc
  .record({
    model: fc.constantFrom('answers', 'auto', ''),
    messages: fc.array(
      fc.record({role: fc.constant('user'), content: fc.string()}),
      {minLength: 1, maxLength: 3},
    ),
    stream: fc.boolean(),
    metadata: fc.dictionary(fc.string(), fc.string()),
  })
  .map(body => JSON.stringify(body));

const jsonBody = fc.oneof(
  {weight: 3, arbitrary: chatBody},
  fc.json(),
  fc
    .record(
      {
        model: fc.oneof(
          fc.constantFrom('answers', 'small', 'small@v1', 'auto', ''),
          fc.jsonValue(),
        ),
        messages: fc.oneof(
          fc.array(
            fc.record(
              {
                role: fc.oneof(fc.constant('user'), fc.jsonValue()),
                content: fc.jsonValue(),
              },
              {requiredKeys: []},
            ),
          ),
          fc.jsonValue(),
        ),
        stream: fc.oneof(fc.boolean(), fc.jsonValue()),
        max_tokens: fc.jsonValue(),
        metadata: fc.oneof(
          fc.dictionary(fc.string(), fc.string()),
          fc.jsonValue(),
        ),
        stream_options: fc.jsonValue(),
      },
      {requiredKeys: []},
    )
    .map(body => JSON.stringify(body)),
  fc.string(),
);

const headers = fc.record(
  {
    authorization: fc.oneof(
      {weight: 4, arbitrary: fc.constant(`Bearer ${fixtures.keyOf('north')}`)},
      {weight: 1, arbitrary: headerValue},
    ),
    'content-type': fc.oneof(fc.constant('application/json'), headerValue),
    'idempotency-key': headerValue,
    'x-session-token': headerValue,
    'x-session-id': headerValue,
    cookie: headerValue,
    range: headerValue,
    'accept-encoding': headerValue,
    origin: headerValue,
    'if-none-match': headerValue,
    host: headerValue,
  },
  {requiredKeys: ['authorization']},
);

const input: fc.Arbitrary<Input> = fc.record({
  method: fc.oneof(
    {weight: 3, arbitrary: fc.constant('POST')},
    fc.constantFrom(...METHODS),
  ),
  path,
  headers,
  body: jsonBody,
});

const send = (address: string, sent: Input): Promise<Output> =>
  new Promise((resolve, reject) => {
    const [host = '', port = ''] = address.split(':');
    const {method} = sent;
    const body = method === 'GET' || method === 'HEAD' ? '' : sent.body;
    const framed = {
      ...sent.headers,
      'content-length': Buffer.byteLength(body),
    };
    const request = http.request(
      {host, port, method, path: sent.path, headers: framed},
      response => {
        let text = '';
        response.on('data', chunk => (text += String(chunk)));
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            type: response.headers['content-type'] ?? '',
            body: text,
          }),
        );
        response.on('error', reject);
      },
    );
    request.on('error', reject);
    request.end(body);
  });

/** Why an answer must not reach a caller; undefined if it may. */
const findFault = (sent: Input, got: Output): string | undefined => {
  if (got.status < 400 || sent.method === 'HEAD') {
    return got.status === 500 ? 'internal' : undefined;
  }
  try {
    const {code} = rawCaller.checkError(got.body);
    return code === 'internal' ? 'internal' : undefined;
  } catch {
    return `untyped ${got.status}: ${got.body.slice(0, 100)}`;
  }
};

/** Sends random input; returns the first fault, undefined if there is none. */
const run = async (
  address: string,
  numRuns: number,
): Promise<string | undefined> => {
  const property = fc.asyncProperty(input, async sent => {
    chai.assert.isUndefined(findFault(sent, await send(address, sent)));
  });
  const details = await fc.check(property, {seed: SEED, numRuns});
  return details.failed
    ? `${String(details.errorInstance)} ${JSON.stringify(details.counterexample)}`
    : undefined;
};

describe('caller interface with random input', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  let address: string;

  before(async () => {
    deployment = await fixtures.startDeployment();
    address = deployment.addresses[0] ?? '';
  });

  after(() => deployment.stop());

  // Guards against an unforeseen request that ends the instance and, with it,
  // the requests of others: every error is typed, and none is an internal one.
  it('answers each request with its result or a typed error', async () => {
    chai.assert.isUndefined(await run(address, 600));
    const answer = await fixtures.chat(address, 'hello');
    chai.assert.strictEqual(answer.status, 200);
  });

  it('reports an injected fault', async () => {
    const instance = deployment.instances[0]!;
    const logger = instance.resolve('logger');
    logger.silent = true;
    const events = instance.resolve('events');
    const record = events.record.bind(events);
    events.record = (name, subject) => {
      if (name === 'request_received') {
        throw new Error('injected');
      }
      record(name, subject);
    };
    const fault = await run(address, 600);
    events.record = record;
    logger.silent = false;
    chai.assert.include(fault, "'internal'");
  });
});
