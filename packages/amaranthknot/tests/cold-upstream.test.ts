import * as chai from 'chai';
import type * as embeddedDeployment from '../src/embedded-deployment.js';
import * as fixtures from './support/fixtures.js';
import * as processes from './support/processes.js';

/**
 * Short times, which shorten the period after a start in which an issuer of
 * warm-up grants must not grant.
 */
const TIMING = {termMs: 1_000, drainMs: 500, viewLagMs: 3_000};

const CALLERS = 24;

describe('an upstream in cold start, used by three instances', () => {
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

  const isColdKnownEverywhere = () =>
    deployment.instances.every(instance =>
      instance
        .resolve('events')
        .read()
        .some(event => event.name === 'upstream_cold'),
    );

  /**
   * Runs callers on all instances, as many as the warm engine has capacity for;
   * returns the number of answers.
   */
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

  // An engine starts cold. Guards against three instances that each send it its
  // whole cold capacity, three times what it can take.
  it('never gets more requests than its capacity from all instances together', async () => {
    const engine = findEngine();
    await sleep(TIMING.viewLagMs + TIMING.termMs + TIMING.drainMs + 500);
    engine.warmUp = {coldSlots: 2, warmMs: 6_000};
    engine.makeCold();
    await processes.waitUntil(
      'all instances know that the engine is cold',
      isColdKnownEverywhere,
    );
    engine.maxOverload = Number.NEGATIVE_INFINITY;
    const whileCold = await runLoad(4_000);
    chai.expect(engine.maxOverload).within(-64, 0);
    chai.expect(whileCold).greaterThan(0);
    await runLoad(3_000);
    chai.expect(engine.maxOverload).lessThanOrEqual(0);
  });

  // An engine becomes cold again under full load, without notice, and refuses
  // what exceeds its capacity. Its next report may take a second; until then
  // all instances would go on sending, which would overload it.
  it('gets no further requests after its first refusal when it becomes cold again', async () => {
    const engine = findEngine();
    engine.warmUp = {coldSlots: 1, warmMs: 60_000};
    const load = runLoad(2_500);
    await sleep(1_000);
    engine.makeCold();
    await load;
    // Only requests already sent may be refused, not one every 10 ms from each
    // caller.
    chai.expect(engine.coldRefusals).within(1, CALLERS);
    chai.expect(isColdKnownEverywhere()).equal(true);
  });
});
