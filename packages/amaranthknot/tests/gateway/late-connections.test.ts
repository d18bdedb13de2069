import * as events from 'node:events';
import * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';
import * as runFixture from './run-fixture.js';
import type * as virtualFleet from './virtual-fleet.js';

/** Time that the request has left, in milliseconds. */
const LEFT_MS = 100;

/** Time for which one callback holds the event loop, in milliseconds. */
const HELD_MS = 400;

const KINDS = ['idempotent', 'at_most_once', 'stream'] as const;

const listen = async (
  onData: (chunk: Buffer) => void,
): Promise<{readonly server: net.Server; readonly port: number}> => {
  const server = net.createServer(socket => {
    socket.on('data', onData);
    socket.on('error', () => undefined);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, port: (server.address() as net.AddressInfo).port};
};

/** A connection that holds the event loop once it is written to. */
const connectToWork = async (): Promise<net.Socket> => {
  const {server, port} = await listen(() => {
    fakes.holdLoop(HELD_MS);
  });
  const socket = net.connect(port, '127.0.0.1');
  await ports.systemClock.sleep(50);
  socket.once('close', () => server.close());
  return socket;
};

/** Dependencies of runs whose only upstream listens on `port`. */
const createDependencies = (
  instance: virtualFleet.VirtualInstance,
  port: number,
): gateway.RunDependencies =>
  runFixture.createRunDependencies(
    instance,
    gateway.createOpenCall(
      new gateway.ConnectionPool(),
      platform.HEADER_NAMES,
      {
        recordNotices: () => undefined,
        links: {record: () => undefined, recordSilence: () => undefined},
      },
    ),
    toPlace =>
      instance
        .get('placement')
        .place(toPlace)
        .map(placed => ({
          ...placed,
          upstream: {...placed.upstream, address: {host: '127.0.0.1', port}},
        })),
  );

describe('a connection to an upstream that opens behind other work', () => {
  KINDS.forEach(kind => {
    it(`carries no request whose deadline has passed: ${kind}`, async () => {
      // Guards against work for nobody: timers run after a turn's input.
      let received = '';
      const {server, port} = await listen(chunk => {
        received += chunk.toString();
      });
      const work = await connectToWork();
      const instance = placementLoad.getOnlyInstance(
        await placementLoad.startPlacementLoad({
          instances: 1,
          upstreams: ['u-1'],
          answer: () => undefined,
        }),
      );
      const {request} = placementFixture.createPlacementRequest(instance, 'r', {
        kind,
      });
      const clock = ports.systemClock;
      const deadlineMs = clock.now() + LEFT_MS;
      const {signal, isAwaited, stop} = runFixture.awaitRunEnd(
        new events.EventEmitter(),
        () => clock.now(),
        deadlineMs,
      );
      const dependencies = createDependencies(instance, port);
      const context = {
        request: {...request, deadlineMs},
        log: runFixture.NO_LOG,
        signal,
        isAwaited,
      };
      const run =
        kind === 'stream'
          ? new gateway.StreamRun(
              dependencies,
              context,
              {} as gateway.CallerAnswer,
            )
          : new gateway.BufferedRun(dependencies, context);
      const ended = run.run();
      work.write('work');
      await ended;
      await clock.sleep(50);
      stop();
      work.destroy();
      server.close();
      chai.expect(signal.reason).equal('time_up');
      chai.expect(received).equal('');
    });
  });
});
