import type * as net from 'node:net';
import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as fixture from './gateway-fixture.js';
import * as rawConnection from './raw-connection.js';

/** Time for which the event loop is held, in milliseconds. */
const HELD_MS = 1_200;

/** Time that callers have left who do not outlast it, in milliseconds. */
const SHORT_MS = 400;

/** Callers at a time, each on a connection of its own. */
const CALLERS = 5;

/** Error allowed in the time that a request has waited, in milliseconds. */
const TOLERANCE_MS = 250;

const ROUTES = ['read', 'book', 'stream'] as const;
const CONNECTIONS = ['kept', 'new'] as const;

/** Resolves after the events of the current turn of the loop. */
const nextTurn = (): Promise<void> =>
  new Promise(resolve => {
    setImmediate(resolve);
  });

describe('an instance whose event loop was held', () => {
  let gateway: fixture.GatewayFixture;
  let upstream: fakes.ScriptedUpstream;

  beforeEach(async () => {
    upstream = new fakes.ScriptedUpstream(({request, socket}) => {
      const isStream = request.target.startsWith('/stream/');
      socket.write(
        isStream
          ? fakes.formatStreamHead(request) +
              fakes.formatChunk(fakes.formatEvent(1)) +
              fakes.LAST_CHUNK
          : fakes.formatAnswer(request, 'own'),
      );
    });
    await upstream.start();
    gateway = await fixture.startGateway();
    await gateway.register('i-1', upstream);
  });

  afterEach(async () => {
    await gateway.stop();
    await upstream.stop();
  });

  const openConnections = (): Promise<rawConnection.OpenConnection[]> => {
    const address = gateway.settings[0]!.listen.callers;
    return Promise.all(
      Array.from({length: CALLERS}, () => rawConnection.connect(address)),
    );
  };

  /** Lets the instance accept the connections, as kept ones are. */
  const settle = async (connection: 'kept' | 'new'): Promise<void> => {
    if (connection === 'kept') {
      await fixture.pause(50);
    }
    await nextTurn();
  };

  const listSent = (): string[] =>
    upstream.requests.map(({headers}) => headers['x-attempt-id'] ?? '');

  const end = (sockets: readonly net.Socket[]): void => {
    sockets.forEach(socket => socket.end());
  };

  CONNECTIONS.forEach(connection => {
    ROUTES.forEach(route => {
      it(`sends nothing for callers that left meanwhile: ${route}, ${connection} connection`, async () => {
        // Guards against work for nobody: the close of a connection lies unread
        // behind the request.
        const sockets = (await openConnections()).map(({socket}) => socket);
        await settle(connection);
        sockets.forEach((socket, index) => {
          const path = fixture.PATHS[route];
          socket.write(
            rawConnection.format(`left-${index}`, path, 2 * HELD_MS),
          );
        });
        fakes.holdLoop(HELD_MS);
        end(sockets);
        await gateway.call({path: fixture.PATHS.read, id: 'stayed'});
        await fixture.pause(50);
        chai.expect(listSent()).eql(['stayed']);
      });

      it(`sends nothing once no time is left: ${route}, ${connection} connection`, async () => {
        // Guards against requests that are sent after their deadline, which is
        // counted from when they are read.
        const callers = await openConnections();
        await settle(connection);
        callers.forEach(({socket}, index) => {
          const path = fixture.PATHS[route];
          socket.write(rawConnection.format(`late-${index}`, path, SHORT_MS));
        });
        fakes.holdLoop(HELD_MS);
        await gateway.call({path: fixture.PATHS.read, id: 'stayed'});
        end(callers.map(({socket}) => socket));
        const answers = await Promise.all(
          callers.map(({received}) => received),
        );
        chai.expect(listSent()).eql(['stayed']);
        chai
          .expect(answers.map(answer => answer.split('\r\n', 1)[0]))
          .eql(callers.map(() => 'HTTP/1.1 503 Service Unavailable'));
      });
    });

    it(`serves callers that still wait, for the time that is left: ${connection} connection`, async () => {
      // Guards against callers refused although there is time, and against
      // upstreams that are given more time than that.
      const callers = await openConnections();
      await settle(connection);
      callers.forEach(({socket}, index) => {
        const path = fixture.PATHS.read;
        socket.write(rawConnection.format(`waits-${index}`, path, 3_000));
      });
      fakes.holdLoop(HELD_MS);
      await fixture.waitUntil(() => upstream.requests.length === CALLERS);
      const times = upstream.requests.map(({headers}) =>
        Number(headers['x-remaining-milliseconds']),
      );
      const mostMs = 3_000 - HELD_MS;
      times.forEach(time => {
        chai.expect(time).within(mostMs - TOLERANCE_MS, mostMs + TOLERANCE_MS);
      });
      end(callers.map(({socket}) => socket));
    });
  });
});
