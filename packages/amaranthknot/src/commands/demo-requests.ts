/** The requests of the demo, and the checks of their results. */
import * as wreck from '@hapi/wreck';
import * as fakes from '@amaranthknot/fakes';

/** API key of the demo's workspace; as in examples/meetups.toml. */
const KEY = 'meetups-example-key-tamaki-newcomers';

/** Number of bills: two plain answers, one stream, one booking. */
export const EXPECTED_BILLS = 4;

/** Result of one request; `passed` tells whether it was as expected. */
export interface DemoResult {
  readonly name: string;
  readonly ranOn: string;
  readonly passed: boolean;
  readonly detail: string;
}

interface Reply {
  readonly status: number;
  readonly text: string;
}

const post = async (
  address: string,
  path: string,
  body: object,
  headers: Readonly<Record<string, string>> = {},
): Promise<Reply> => {
  const response = await wreck.default.request(
    'POST',
    `http://${address}${path}`,
    {
      payload: JSON.stringify(body),
      headers: {
        authorization: `Bearer ${KEY}`,
        'content-type': 'application/json',
        ...headers,
      },
    },
  );
  const read = await wreck.default.read(response);
  return {status: response.statusCode ?? 0, text: read.toString()};
};

const ask = (
  address: string,
  prompt: string,
  stream: boolean,
): Promise<Reply> =>
  post(address, '/v1/chat/completions', {
    model: 'welcome-pack',
    messages: [{role: 'user', content: prompt}],
    stream,
  });

const modelOf = (reply: Reply): string => {
  try {
    return (JSON.parse(reply.text) as {model?: string}).model ?? '';
  } catch {
    return '';
  }
};

const askPlain = async (
  address: string,
  name: string,
  prompt: string,
  expectedModel: RegExp,
): Promise<DemoResult> => {
  const reply = await ask(address, prompt, false);
  const ranOn = modelOf(reply);
  const passed = reply.status === 200 && expectedModel.test(ranOn);
  return {name, ranOn, passed, detail: `status ${reply.status}`};
};

const askStreamed = async (address: string): Promise<DemoResult> => {
  const reply = await ask(address, 'a welcome pack, please', true);
  const events = reply.text.split('\n\n').filter(event => event !== '');
  const first = events[0]?.slice('data: '.length) ?? '{}';
  const passed = reply.status === 200 && events.at(-1) === 'data: [DONE]';
  return {
    name: 'a streamed answer',
    ranOn: modelOf({status: reply.status, text: first}),
    passed,
    detail: `${events.length} events`,
  };
};

const bookTwice = async (
  addresses: readonly string[],
  running: fakes.FakeDeployment,
): Promise<DemoResult> => {
  const headers = {'idempotency-key': 'seat-12-moana'};
  const book = (address: string) =>
    post(address, '/services/bookings/seats', {seat: 12}, headers);
  const first = await book(addresses[0] ?? '');
  const second = await book(addresses[1] ?? '');
  const runs = [...running.services.values()].flatMap(service => service.runs);
  return {
    name: 'a booking sent twice under one key',
    ranOn: 'bookings',
    passed:
      runs.length === 1 && first.status === 200 && second.text === first.text,
    detail: `ran ${runs.length} time(s)`,
  };
};

/** Sends all requests in sequence, to different instances. */
export const sendRequests = async (
  addresses: readonly string[],
  running: fakes.FakeDeployment,
): Promise<readonly DemoResult[]> => {
  const [first = '', second = '', third = ''] = addresses;
  return [
    await askPlain(first, 'passes at the cheap stage', 'hello', /small/),
    await askPlain(
      second,
      'escalates to a capable stage',
      `a ${fakes.HARD_WORD} question`,
      /medium|large/,
    ),
    await askStreamed(third),
    await bookTwice(addresses, running),
  ];
};
