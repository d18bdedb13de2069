import * as chai from 'chai';
import type * as fakes from '@amaranthknot/fakes';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';

const PROMPT = 'tell me all about the meetup';

/** The answer of the fake engine to `PROMPT`. */
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

  // The stream carries chunks of another request or a chunk twice, or is cut at
  // some token. The caller must get its own answer, each token once.
  const cases: readonly {
    readonly name: string;
    readonly fault: fakes.EngineFault;
    readonly count: number;
    readonly cutAfter: number;
  }[] = [
    {name: 'a doubled stream', fault: 'doubled', count: 9, cutAfter: 0},
    {
      name: 'an answer with chunks of another request',
      fault: 'crossed',
      count: 1,
      cutAfter: 0,
    },
    {name: 'a refusing upstream', fault: 'refuse', count: 1, cutAfter: 0},
    {name: 'a failing upstream', fault: 'error', count: 1, cutAfter: 0},
    {name: 'a cut before the first token', fault: 'cut', count: 1, cutAfter: 0},
    {name: 'a cut after a token', fault: 'cut', count: 1, cutAfter: 1},
    {name: 'a cut near the end', fault: 'cut', count: 1, cutAfter: 7},
  ];
  for (const {name, fault, count, cutAfter} of cases) {
    it(`is complete after ${name}`, async () => {
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

  // Every upstream cuts every stream. The part that was received must not be
  // returned as a complete answer: no [DONE], an error event, and no bill.
  it('is never reported as complete when it was cut', async () => {
    setFault('cut', Number.POSITIVE_INFINITY, 0);
    const plain = await fixtures.chat(deployment.addresses[0]!, PROMPT);
    chai.expect(plain.status).greaterThanOrEqual(500);
    chai.expect(plain.json.error.ran).equal('unknown');
    const streamed = await fixtures.chat(deployment.addresses[0]!, PROMPT, {
      stream: true,
    });
    chai.expect(streamed.text).not.contain('[DONE]');
  });

  it('carries its model, request id and session token', async () => {
    const answer = await fixtures.chat(deployment.addresses[0]!, PROMPT, {
      model: 'small@v1',
      workspace: 'south',
    });
    chai.expect(answer.json.model).equal('small@v1');
    chai.expect(answer.json.id).equal(answer.headers.get('x-request-id'));
    chai.expect(answer.headers.get('x-session-token')).match(/^ey/);
  });
});
