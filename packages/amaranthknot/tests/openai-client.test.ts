import * as chai from 'chai';
import * as openai from 'openai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

describe('the published OpenAI client', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  before(async () => {
    deployment = await fixtures.startDeployment({tokenMs: 5});
  });
  after(() => deployment.stop());

  const createClient = (key = fixtures.keyOf('north'), maxRetries = 0) =>
    new openai.OpenAI({
      apiKey: key,
      baseURL: `http://${deployment.addresses[0]!}/v1`,
      maxRetries,
    });

  const messages = [{role: 'user' as const, content: 'hello there'}];
  const text = 'small@v1 answers: hello there';

  it('gets an answer that is not streamed', async () => {
    const answer = await createClient().chat.completions.create({
      model: 'answers',
      messages,
    });
    chai.expect(answer.choices[0]!.message.content).match(/answers: hello/);
    chai.expect(answer.usage!.completion_tokens).greaterThan(0);
  });

  it('gets a streamed answer with its usage', async () => {
    const client = createClient(fixtures.keyOf('south'));
    const stream = await client.chat.completions.create({
      model: 'small@v1',
      messages,
      stream: true,
      stream_options: {include_usage: true},
    });
    let content = '';
    let tokens: number | undefined;
    for await (const chunk of stream) {
      content += chunk.choices[0]?.delta.content ?? '';
      tokens = chunk.usage?.completion_tokens ?? tokens;
    }
    chai.expect(content).equal(text);
    chai.expect(tokens).equal(4);
  });

  it('lists the models of its workspace only', async () => {
    const list = await createClient(fixtures.keyOf('south')).models.list();
    const ids = list.data.map(model => model.id);
    chai.expect(ids).eql(['answers', 'small']);
  });

  // A caller disconnects in the middle of a stream. Guards against upstreams
  // that go on generating abandoned answers, which fill their batches.
  it('cancels the upstream request when it aborts', async () => {
    const client = createClient(fixtures.keyOf('south'));
    const stream = await client.chat.completions.create({
      model: 'small@v1',
      messages: [{role: 'user', content: 'many words '.repeat(200)}],
      stream: true,
    });
    for await (const chunk of stream) {
      chai.expect(chunk.id).be.a('string');
      break;
    }
    stream.controller.abort();
    const engines = [...deployment.fakes.engines.values()];
    const isCancelled = () => engines.some(one => one.cancelled.length > 0);
    for (let i = 0; i < 200 && !isCancelled(); i++) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    chai.expect(isCancelled()).equal(true);
  });

  const invalid = [
    {name: 'a wrong key', key: 'nobody', model: 'answers', status: 401},
    {
      name: 'an unknown model',
      key: fixtures.keyOf('north'),
      model: 'nothing',
      status: 404,
    },
    {
      name: 'a version its workspace may not use',
      key: fixtures.keyOf('south'),
      model: 'small@v9',
      status: 404,
    },
  ];
  for (const {name, key, model, status} of invalid) {
    it(`gets a typed error for ${name}`, async () => {
      const failure: unknown = await createClient(key)
        .chat.completions.create({model, messages})
        .then(
          () => undefined,
          (error: unknown) => error,
        );
      chai.expect(failure).instanceOf(openai.APIError);
      chai.expect((failure as openai.APIError).status).equal(status);
    });
  }

  it('retries after a refusal', async () => {
    const engines = [...deployment.fakes.engines.values()];
    for (const engine of engines) {
      engine.fault = 'refuse';
      engine.remainingFaults = Number.POSITIVE_INFINITY;
    }
    setTimeout(() => {
      for (const engine of engines) {
        engine.fault = 'none';
      }
    }, 300);
    const answer = await createClient(
      fixtures.keyOf('north'),
      5,
    ).chat.completions.create({model: 'answers', messages});
    chai.expect(answer.choices[0]!.message.content).match(/answers: hello/);
  });
});
