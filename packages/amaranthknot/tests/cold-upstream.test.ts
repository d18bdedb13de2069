import * as chai from 'chai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as processes from './support/processes.js';

/** Short times, so that an issuer need not keep quiet for long. */
const TIMING = {termMs: 1_000, drainMs: 500, viewLagMs: 3_000};

const CALLERS = 24;

describe('an upstream in cold start, under three instances', () => {
  let deployment: embeddedDeployment.EmbeddedDeployment;
  beforeEach(async () => {
    deployment = await fixtures.startDeployment({
      upstreams: fixtures.createUpstreams().slice(0, 1),
      tokenMs: 5,
      warmUpTiming: TIMING,
    });
  });
  afterEach(() => deployment.stop());

  const findEngine = () => [...deployment.fakes.engines.values()][0]!;

  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

  const knowCold = () =>
    deployment.instances.every(instance =>
      instance
        .resolve('events')
        .read()
        .some(event => event.name === 'upstream_cold'),
    );

  /** Callers of all instances, as many as the warm engine bears. */
  const runLoad = async (ms: number): Promise<number> => {
    const end = Date.now() + ms;
    let answered = 0;
    const call = async (index: number) => {
      while (Date.now() < end) {
        const address = deployment.addresses[index % 3]!;
        const answer = await fixtures.chat(address, 'a b c d e f', {
          model: 'small',
          workspace: 'west',
        });
        answered += answer.status === 200 ? 1 : 0;
        await sleep(10);
      }
    };
    await Promise.all(Array.from({length: CALLERS}, (_, i) => call(i)));
    return answered;
  };

  // An engine starts cold. Each of three instances would send it the little
  // that one may; together that is three times what it bears.
  it('never gets more than it bears in all', async () => {
    const engine = findEngine();
    await sleep(TIMING.viewLagMs + TIMING.termMs + TIMING.drainMs + 500);
    engine.warmUp = {coldSlots: 2, warmMs: 6_000};
    engine.makeCold();
    await processes.waitUntil('all know that it is cold', knowCold);
    engine.maxOverload = Number.NEGATIVE_INFINITY;
    const whileCold = await runLoad(4_000);
    chai.expect(engine.maxOverload).within(-64, 0);
    chai.expect(whileCold).greaterThan(0);
    await runLoad(3_000);
    chai.expect(engine.maxOverload).lessThanOrEqual(0);
  });

  // An engine turns cold again under full load, without warning, and refuses
  // what it does not bear. Its next report comes up to a second later; until
  // then all instances would go on sending, which makes it fall over.
  it('is left alone at its first refusal when it turns cold again', async () => {
    const engine = findEngine();
    engine.warmUp = {coldSlots: 1, warmMs: 60_000};
    const load = runLoad(2_500);
    await sleep(1_000);
    engine.makeCold();
    await load;
    // Those already on their way, not one a caller and 10 ms.
    chai.expect(engine.coldRefusals).within(1, CALLERS);
    chai.expect(knowCold()).equal(true);
  });
});
