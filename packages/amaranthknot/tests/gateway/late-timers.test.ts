import * as events from 'node:events';
import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';
import * as runFixture from './run-fixture.js';

/** Time that a request has left, in milliseconds. */
const LEFT_MS = 1_000;

/** Time of a reading of the connections, in milliseconds. */
const READING_MS = 200;

const KINDS = ['idempotent', 'stream'] as const;

const REFUSED: gateway.CallFailure = {ran: 'not_run', reason: 'refused'};

describe('a run in a process whose timers are late', () => {
  KINDS.forEach(kind => {
    it(`sends nothing after its deadline: ${kind}`, async () => {
      // Guards against upstreams that work for callers who have left: the timer
      // of a deadline waits behind what a busy process does first.
      const instance = placementLoad.getOnlyInstance(
        await placementLoad.startPlacementLoad({
          instances: 1,
          upstreams: ['u-1', 'u-2', 'u-3'],
          answer: () => undefined,
        }),
      );
      const {request} = placementFixture.createPlacementRequest(instance, 'r', {
        kind,
        isResumable: true,
      });
      let now = 0;
      let calls = 0;
      const dependencies = runFixture.createRunDependencies(instance, () => {
        calls++;
        now += LEFT_MS;
        return Promise.resolve(purify.Left(REFUSED));
      });
      const {signal, isAwaited, stop} = runFixture.awaitRunEnd(
        new events.EventEmitter(),
        () => now,
        LEFT_MS,
      );
      const context = {request, log: runFixture.NO_LOG, signal, isAwaited};
      const answer = {} as gateway.CallerAnswer;
      const run =
        kind === 'stream'
          ? new gateway.StreamRun(dependencies, context, answer)
          : new gateway.BufferedRun(dependencies, context);
      await run.run();
      stop();
      chai.expect(calls).equal(1);
      chai.expect(signal.reason).equal('time_up');
    });
  });

  it('ends when its caller leaves', async () => {
    // Guards against work that goes on for nobody.
    const response = new events.EventEmitter();
    const end = runFixture.awaitRunEnd(response, () => 0, LEFT_MS);
    chai.expect(await end.isAwaited()).equal(true);
    response.emit('close');
    end.stop();
    chai.expect(await end.isAwaited()).equal(false);
    chai.expect(end.signal.reason).equal('caller_left');
  });

  it('sends no more often than its route allows while connections are read', async () => {
    // Guards against a hedged attempt that starts although the first one, which
    // waits for a late process to read, takes the last that is allowed.
    const instance = placementLoad.getOnlyInstance(
      await placementLoad.startPlacementLoad({
        instances: 1,
        upstreams: ['u-1', 'u-2'],
        answer: () => undefined,
      }),
    );
    const {request} = placementFixture.createPlacementRequest(instance, 'r', {
      maxAttempts: 1,
      latencyTargetMs: 1,
    });
    let calls = 0;
    const dependencies = runFixture.createRunDependencies(instance, () => {
      calls++;
      return new Promise(() => undefined);
    });
    const {signal} = new AbortController();
    const isAwaited = async () => {
      await ports.systemClock.sleep(READING_MS);
      return true;
    };
    const context = {request, log: runFixture.NO_LOG, signal, isAwaited};
    void new gateway.BufferedRun(dependencies, context).run();
    await ports.systemClock.sleep(4 * READING_MS);
    chai.expect(calls).equal(1);
  });
});
