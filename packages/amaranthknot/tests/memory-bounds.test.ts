import * as chai from 'chai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as rawCaller from './support/raw-caller.js';

const MAX_IN_FLIGHT = 4;
const MAX_PENDING_BILLS = 5;
/** `max_queued` of the workspaces in the test document. */
const MAX_QUEUED = 100;

const checkRefused = (answer: fixtures.RawAnswer, codes: readonly string[]) => {
  const error = rawCaller.checkError(answer.text);
  chai.assert.strictEqual(error.ran, 'not_run');
  chai.assert.include(codes, error.code);
  const seconds = Number(answer.headers.get('retry-after'));
  chai.assert.isAtLeast(seconds, 1);
};

const until = async (holds: () => boolean): Promise<void> => {
  while (!holds()) {
    await new Promise(resolve => setImmediate(resolve));
  }
};

describe('memory bounds', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  let address: string;

  beforeEach(async () => {
    deployment = await fixtures.startDeployment({
      limits: {maxInFlight: MAX_IN_FLIGHT, maxPendingBills: MAX_PENDING_BILLS},
    });
    address = deployment.addresses[0] ?? '';
  });

  afterEach(() => deployment.stop());

  // All engines accept requests and never answer, while callers go on sending.
  // Guards against waiting requests that fill the memory until the instance
  // dies: above its limits it must refuse at once, with not_run and
  // Retry-After.
  it('limits requests in flight and queued when upstreams are stuck', async () => {
    const engines = [...deployment.fakes.engines.values()];
    engines.forEach(engine => (engine.fault = 'silent'));
    const admission = deployment.instances[0]!.resolve('admission');
    const leave = new AbortController();
    const refused: fixtures.RawAnswer[] = [];
    let asked = 0;
    const ask = async (): Promise<void> => {
      asked++;
      const answer = await fetch(`http://${address}/v1/chat/completions`, {
        method: 'POST',
        signal: leave.signal,
        headers: {authorization: `Bearer ${fixtures.keyOf('north')}`},
        body: JSON.stringify({
          model: 'answers',
          messages: [{role: 'user', content: 'hello'}],
        }),
      });
      const text = await answer.text();
      const {status, headers} = answer;
      refused.push({status, headers, text, json: undefined});
    };
    const asking = Array.from({length: 300}, () =>
      ask().catch(() => undefined),
    );
    await until(
      () => refused.length + admission.inFlight + admission.queued === asked,
    );
    chai.assert.strictEqual(admission.inFlight, MAX_IN_FLIGHT);
    chai.assert.isAtMost(admission.queued, MAX_QUEUED);
    chai.assert.isAtLeast(refused.length, 300 - MAX_IN_FLIGHT - MAX_QUEUED);
    for (const answer of refused) {
      chai.assert.strictEqual(answer.status, 429);
      checkRefused(answer, ['over_capacity', 'deadline_unreachable']);
    }
    leave.abort();
    await Promise.all(asking);
    await until(() => admission.inFlight + admission.queued === 0);
  });

  // During a platform outage no bill can be written. Answers go on, as peers
  // hold copies of the bills; but a long outage would fill the memory, so above
  // the limit a request must be refused before it runs.
  it('limits pending bills during a platform outage', async () => {
    const bills = deployment.instances[0]!.resolve('bills');
    deployment.fakes.platform.mode = 'down';
    for (let i = 0; i < MAX_PENDING_BILLS; i++) {
      const answer = await fixtures.chat(address, `question ${i}`);
      chai.assert.strictEqual(answer.status, 200);
    }
    chai.assert.lengthOf(bills.pending(), MAX_PENDING_BILLS);
    const started = () =>
      [...deployment.fakes.engines.values()].reduce(
        (sum, engine) => sum + engine.started.length,
        0,
      );
    const before = started();
    const chat = await fixtures.chat(address, 'one more');
    const booking = await fixtures.book(address, 'one-more');
    for (const answer of [chat, booking]) {
      chai.assert.strictEqual(answer.status, 503);
      checkRefused(answer, ['platform_out']);
    }
    chai.assert.strictEqual(started(), before);
    chai.assert.lengthOf(bills.pending(), MAX_PENDING_BILLS);
    deployment.fakes.platform.mode = 'up';
    chai.assert.isTrue(await bills.flush());
    const after = await fixtures.chat(address, 'and on');
    chai.assert.strictEqual(after.status, 200);
  });
});
