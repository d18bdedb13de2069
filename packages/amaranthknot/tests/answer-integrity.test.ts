import * as chai from 'chai';
import type * as fakes from '@amaranthknot/fakes';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

const PROMPT = 'tell me all about the meetup';

/** As the stand-in engine answers. */
const expectedText = (model: string): string => `${model} answers: ${PROMPT}`;

describe('a chat answer', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  before(async () => {
    deployment = await fixtures.startDeployment();
  });
  after(() => deployment.stop());
  afterEach(() => setFault('none', 0, 0));

  const setFault = (
    fault: fakes.EngineFault,
    count: number,
    cutAfter: number,
  ) => {
    for (const engine of deployment.fakes.engines.values()) {
      engine.fault = fault;
      engine.remainingFaults = count;
      engine.cutAfter = cutAfter;
    }
  };

  // Chunks of another request, or one chunk twice, arrive on the stream, or it
  // is cut at some token. The caller must get its own answer, each token once.
  const cases: readonly {
    readonly name: string;
    readonly fault: fakes.EngineFault;
    readonly count: number;
    readonly cutAfter: number;
  }[] = [
    {name: 'a doubled stream', fault: 'doubled', count: 9, cutAfter: 0},
    {name: 'a crossed answer', fault: 'crossed', count: 1, cutAfter: 0},
    {name: 'a refusing upstream', fault: 'refuse', count: 1, cutAfter: 0},
    {name: 'a failing upstream', fault: 'error', count: 1, cutAfter: 0},
    {name: 'a cut at the start', fault: 'cut', count: 1, cutAfter: 0},
    {name: 'a cut after a token', fault: 'cut', count: 1, cutAfter: 1},
    {name: 'a cut near the end', fault: 'cut', count: 1, cutAfter: 7},
  ];
  for (const {name, fault, count, cutAfter} of cases) {
    it(`is whole after ${name}`, async () => {
      deployment.fakes.engines.forEach(engine => {
        engine.fault = 'none';
      });
      const [engine] = deployment.fakes.engines.values();
      engine!.fault = fault;
      engine!.remainingFaults = count;
      engine!.cutAfter = cutAfter;
      for (let i = 0; i < 4; i++) {
        const answer = await fixtures.chat(
          deployment.addresses[i % 3]!,
          PROMPT,
          {model: 'small@v1', workspace: 'south'},
        );
        chai.expect(answer.status, answer.text).equal(200);
        const {content} = answer.json.choices[0].message;
        chai.expect(content).equal(expectedText('small@v1'));
      }
    });
  }

  // Every upstream cuts every stream. The part that came must not be passed on
  // as a whole answer: no [DONE], an error event, and no bill.
  it('is never given as whole when it is not', async () => {
    setFault('cut', Number.POSITIVE_INFINITY, 0);
    const plain = await fixtures.chat(deployment.addresses[0]!, PROMPT);
    chai.expect(plain.status).greaterThanOrEqual(500);
    chai.expect(plain.json.error.ran).equal('unknown');
    const streamed = await fixtures.chat(deployment.addresses[0]!, PROMPT, {
      stream: true,
    });
    chai.expect(streamed.text).not.contain('[DONE]');
  });

  it('names its model, its request and its session', async () => {
    const answer = await fixtures.chat(deployment.addresses[0]!, PROMPT, {
      model: 'small@v1',
      workspace: 'south',
    });
    chai.expect(answer.json.model).equal('small@v1');
    chai.expect(answer.json.id).equal(answer.headers.get('x-request-id'));
    chai.expect(answer.headers.get('x-session-token')).match(/^ey/);
  });
});
