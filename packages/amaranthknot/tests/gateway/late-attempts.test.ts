import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as gateway from '@amaranthknot/gateway';
import * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';
import * as runFixture from './run-fixture.js';

const UPSTREAMS = ['u-1', 'u-2', 'u-3', 'u-4'];

/** Latency target of the route, in milliseconds; hedges start earlier. */
const TARGET_MS = 200;

/** Time that a late instance takes to read its connections, in ms. */
const READING_MS = 300;

const startInstance = async () =>
  placementLoad.getOnlyInstance(
    await placementLoad.startPlacementLoad({
      instances: 1,
      upstreams: UPSTREAMS,
      answer: () => undefined,
    }),
  );

/** Time that an upstream takes to answer, in milliseconds. */
const ANSWER_MS = 100;

/** Shortest time between a send and its hedge, in milliseconds. */
const MIN_HEDGE_MS = 0.3 * TARGET_MS;

/** Error of timers, in milliseconds. */
const TOLERANCE_MS = 10;

/** Reads like a late instance: all that wait go on after the same turn. */
const createLateReading = (): (() => Promise<boolean>) => {
  const turn = ports.systemClock.sleep(READING_MS);
  return async () => {
    await turn;
    return true;
  };
};

describe('an attempt that waits until the connections are read', () => {
  [1, 2].forEach(maxAttempts => {
    it(`is not doubled before it is sent: maxAttempts ${maxAttempts}`, async () => {
      // Guards against requests that run on more upstreams than their route
      // allows, and against repeats of what was never sent.
      const instance = await startInstance();
      const {request} = placementFixture.createPlacementRequest(instance, 'r', {
        maxAttempts,
        latencyTargetMs: TARGET_MS,
      });
      const sentAtMs: number[] = [];
      const run = new gateway.BufferedRun(
        runFixture.createRunDependencies(instance, async () => {
          sentAtMs.push(performance.now());
          await ports.systemClock.sleep(ANSWER_MS);
          return purify.Left({ran: 'unknown', reason: 'broken'});
        }),
        {
          request,
          log: runFixture.NO_LOG,
          signal: new AbortController().signal,
          isAwaited: createLateReading(),
        },
      );
      await run.run();
      chai.expect(sentAtMs.length).most(maxAttempts);
      const [first = 0, second = Infinity] = sentAtMs;
      chai.expect(second - first).least(MIN_HEDGE_MS - TOLERANCE_MS);
    });
  });
});

describe('an attempt that is withdrawn once its connection is open', () => {
  it('counts as one that reached no upstream', async () => {
    // Guards against the repeat budget being spent on requests that were never
    // sent, and against callers refused for it.
    const instance = await startInstance();
    const {request} = placementFixture.createPlacementRequest(instance, 'r');
    const placed: gateway.PlacementRequest[] = [];
    const run = new gateway.BufferedRun(
      runFixture.createRunDependencies(
        instance,
        () =>
          Promise.resolve(purify.Left({ran: 'not_run', reason: 'withdrawn'})),
        toPlace => {
          placed.push(toPlace);
          return placed.length > 2
            ? purify.Left({
                reason: 'no_upstream',
                waitMs: undefined,
                inputs: {},
              })
            : instance.get('placement').place(toPlace);
        },
      ),
      {
        request,
        log: runFixture.NO_LOG,
        signal: new AbortController().signal,
        isAwaited: () => Promise.resolve(true),
      },
    );
    await run.run();
    chai.expect(placed[1]?.history.isRepeat).equal(false);
  });

  it('goes to no upstream that has left meanwhile', async () => {
    // Guards against requests sent on to upstreams that are draining: the first
    // one was placed before the news.
    const instance = await startInstance();
    const {request} = placementFixture.createPlacementRequest(instance, 'r');
    const gone = new Set<string>();
    const sentTo: string[] = [];
    const run = new gateway.BufferedRun(
      runFixture.createRunDependencies(instance, ({upstream}) => {
        sentTo.push(upstream.id);
        if (sentTo.length === 1) {
          // What the store says while the connection opens.
          gone.add(upstream.id);
          instance.get('leavingNotices').record(upstream);
          return Promise.resolve(
            purify.Left({ran: 'not_run', reason: 'withdrawn'}),
          );
        }
        return Promise.resolve(purify.Left({ran: 'unknown', reason: 'broken'}));
      }),
      {
        request,
        log: runFixture.NO_LOG,
        signal: new AbortController().signal,
        isAwaited: () => Promise.resolve(true),
      },
    );
    await run.run();
    chai.expect(gone.has(sentTo[1] ?? '')).equal(false);
  });
});

describe('a stream whose connection opens late', () => {
  it('does not show that its upstream is silent', async () => {
    // Guards against upstreams and versions that count as failed for requests
    // that were never sent to them.
    const instance = await startInstance();
    const {request} = placementFixture.createPlacementRequest(instance, 'r', {
      kind: 'stream',
      isResumable: true,
      latencyTargetMs: TARGET_MS,
    });
    const outcomes: string[] = [];
    const response = new http.ServerResponse(
      new http.IncomingMessage(new net.Socket()),
    );
    const run = new gateway.StreamRun(
      runFixture.createRunDependencies(
        instance,
        async (_call, signal) => {
          await ports.systemClock.sleep(READING_MS, signal);
          return purify.Left({
            ran: 'not_run',
            reason: signal.aborted ? 'unreachable' : 'withdrawn',
          });
        },
        toPlace =>
          instance
            .get('placement')
            .place(toPlace)
            .map(attempt => ({
              ...attempt,
              settle: outcome => {
                outcomes.push(outcome);
                attempt.settle(outcome);
              },
            })),
      ),
      {
        request,
        log: runFixture.NO_LOG,
        signal: new AbortController().signal,
        isAwaited: () => Promise.resolve(true),
      },
      new gateway.CallerAnswer(
        response,
        () => false,
        () => undefined,
      ),
    );
    await run.run();
    chai.expect(outcomes).length.least(1);
    chai.expect(outcomes).not.include('failed');
  });
});
