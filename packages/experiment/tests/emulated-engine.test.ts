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

interface Setup {
  readonly clock: fakes.VirtualClock;
  readonly engine: experiment.EmulatedEngine;
  /** Time until something happens, in milliseconds. */
  readonly timeOf: (event: Promise<void>) => Promise<number>;
}

const setUp = (slowdown = 1): Setup => {
  const clock = new fakes.VirtualClock();
  const engine = new experiment.EmulatedEngine(clock, SHAPE, slowdown);
  return {
    clock,
    engine,
    timeOf: async event => {
      const startedAtMs = clock.now();
      let isOver = false;
      void event.then(() => (isOver = true));
      await clock.advanceUntil(() => isOver, 10_000, 1);
      return clock.now() - startedAtMs;
    },
  };
};

describe('an emulated engine', () => {
  it('reads the prompt, then gives its tokens step by step', async () => {
    const {engine, timeOf} = setUp();
    const run = engine.start(REQUEST);
    const firstTokenMs = await timeOf(run.firstToken);
    chai.expect(firstTokenMs).within(70, 80);
    chai.expect(await timeOf(run.done)).within(70, 80);
    chai.expect(engine.load).equal(0);
  });

  it('does not read a shared beginning again that it keeps', async () => {
    const {engine, timeOf} = setUp();
    await timeOf(engine.start(REQUEST).done);
    const again = engine.start(REQUEST);
    chai.expect(await timeOf(again.firstToken)).within(30, 40);
  });

  it('lets the beginning yield that was used the longest ago', async () => {
    const {engine, timeOf} = setUp();
    for (const prefixKey of ['a', 'b']) {
      await timeOf(engine.start({...REQUEST, prefixKey}).done);
    }
    const first = engine.start({...REQUEST, prefixKey: 'a'});
    chai.expect(await timeOf(first.firstToken)).within(70, 80);
  });

  it('lets requests wait for a slot', async () => {
    const {engine, timeOf} = setUp();
    engine.start(REQUEST);
    engine.start(REQUEST);
    const third = engine.start(REQUEST);
    chai.expect(engine.load).equal(3);
    chai.expect(await timeOf(third.firstToken)).above(150);
  });

  it('goes on with others when one is given up', async () => {
    const {engine, timeOf} = setUp();
    const given = engine.start({...REQUEST, answerTokens: 100_000});
    const kept = engine.start(REQUEST);
    given.cancel();
    chai.expect(await timeOf(kept.done)).below(400);
    chai.expect(engine.load).equal(0);
  });

  it('takes as many times as long as it is slow', async () => {
    const {engine, timeOf} = setUp(3);
    chai
      .expect(await timeOf(engine.start(REQUEST).firstToken))
      .within(215, 235);
  });
});
