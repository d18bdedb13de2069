import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as experiment from '@amaranthknot/experiment';

const SHAPE: experiment.EngineShape = {
  slots: 2,
  stepMs: 4,
  stepMsPerRequest: 1,
  prefillTokensPerMs: 100,
  cacheTokens: 5_000,
  eventTokens: 5,
};

const MODEL: experiment.EmulatedModel = {
  name: 'm',
  cost: 0.1,
  pace: 1,
  quality: 1,
};

const REQUEST: experiment.EngineRequest = {
  model: MODEL,
  prefixKey: 's',
  prefixTokens: 4_000,
  suffixTokens: 1_000,
  answerTokens: 20,
};

interface Fixture {
  readonly clock: fakes.VirtualClock;
  readonly engine: experiment.EmulatedEngine;
  /** Virtual time until a promise resolves, in milliseconds. */
  readonly timeOf: (event: Promise<void>) => Promise<number>;
}

const createFixture = (slowdown = 1): Fixture => {
  const clock = new fakes.VirtualClock();
  const engine = new experiment.EmulatedEngine(clock, SHAPE, slowdown);
  return {
    clock,
    engine,
    timeOf: async event => {
      const startedAtMs = clock.now();
      let isResolved = false;
      void event.then(() => (isResolved = true));
      await clock.advanceUntil(() => isResolved, 10_000, 1);
      return clock.now() - startedAtMs;
    },
  };
};

describe('EmulatedEngine', () => {
  it('processes the prompt, then generates tokens step by step', async () => {
    const {engine, timeOf} = createFixture();
    const run = engine.start(REQUEST);
    const firstTokenMs = await timeOf(run.firstToken);
    chai.expect(firstTokenMs).within(70, 80);
    chai.expect(await timeOf(run.done)).within(70, 80);
    chai.expect(engine.load).equal(0);
  });

  it('does not process a cached prefix again', async () => {
    const {engine, timeOf} = createFixture();
    await timeOf(engine.start(REQUEST).done);
    const again = engine.start(REQUEST);
    chai.expect(await timeOf(again.firstToken)).within(30, 40);
  });

  it('evicts the least recently used prefix', async () => {
    const {engine, timeOf} = createFixture();
    for (const prefixKey of ['a', 'b']) {
      await timeOf(engine.start({...REQUEST, prefixKey}).done);
    }
    const first = engine.start({...REQUEST, prefixKey: 'a'});
    chai.expect(await timeOf(first.firstToken)).within(70, 80);
  });

  it('queues requests until a slot is free', async () => {
    const {engine, timeOf} = createFixture();
    engine.start(REQUEST);
    engine.start(REQUEST);
    const third = engine.start(REQUEST);
    chai.expect(engine.load).equal(3);
    chai.expect(await timeOf(third.firstToken)).above(150);
  });

  it('continues other requests when one is cancelled', async () => {
    const {engine, timeOf} = createFixture();
    const cancelled = engine.start({...REQUEST, answerTokens: 100_000});
    const other = engine.start(REQUEST);
    cancelled.cancel();
    chai.expect(await timeOf(other.done)).below(400);
    chai.expect(engine.load).equal(0);
  });

  it('multiplies its times by the slowdown', async () => {
    const {engine, timeOf} = createFixture(3);
    chai
      .expect(await timeOf(engine.start(REQUEST).firstToken))
      .within(215, 235);
  });
});
