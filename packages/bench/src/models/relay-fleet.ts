/** Configuration followers in one process, connected by loopback HTTP. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as countingStore from './counting-store.js';

export const ENVIRONMENT = 'production';

/** Longest duration of a call to the object API, in milliseconds. */
const MAX_STORE_CALL_MS = 5;

/** Period within which all instances start, in milliseconds. */
const START_SPREAD_MS = 1_000;

/** An instance of the fleet. */
export interface RelayMember {
  readonly follower: membership.ConfigurationFollower;
  readonly usage: countingStore.StoreUsage;
  /** When each generation became active, oldest first. */
  readonly applied: {readonly generation: number; readonly at: number}[];
  close(): Promise<void>;
}

/** Bytes on the connections between instances; each byte is counted once. */
interface Traffic {
  bytes: number;
}

const readBody = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString();
};

const listen = async (
  server: http.Server,
): Promise<{readonly address: string}> => {
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  return {address: `127.0.0.1:${port}`};
};

/**
 * Counts the bytes on a server's connections at the end of each answer. Counting
 * at the next request would add the answers of the start, which carry whole
 * configurations, to the measured period.
 */
const countTraffic = (server: http.Server, traffic: Traffic): void => {
  const counted = new WeakMap<net.Socket, number>();
  const count = (socket: net.Socket) => {
    const total = socket.bytesRead + socket.bytesWritten;
    traffic.bytes += total - (counted.get(socket) ?? 0);
    counted.set(socket, total);
  };
  server.on('request', (request, response) => {
    response.on('close', () => count(request.socket));
  });
};

/** The instances of a fleet, and the object API that they share. */
export class RelayFleet {
  readonly store: fakes.MemoryObjectStore;
  readonly members: RelayMember[] = [];
  readonly traffic: Traffic = {bytes: 0};
  private readonly listedInstances: ports.ListedInstance[] = [];

  constructor(
    private readonly random: () => number,
    private readonly zones: number,
  ) {
    this.store = new fakes.MemoryObjectStore({
      clock: ports.systemClock,
      delayMs: () => 1 + this.random() * (MAX_STORE_CALL_MS - 1),
    });
  }

  /** Starts `count` instances within `START_SPREAD_MS`. */
  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      this.members.push(await this.add(index));
    }
    await Promise.all(
      this.members.map(async ({follower}) => {
        await ports.systemClock.sleep(this.random() * START_SPREAD_MS);
        await follower.start();
      }),
    );
  }

  /** Stops all instances. */
  async close(): Promise<void> {
    await Promise.all(this.members.map(member => member.close()));
  }

  /** When the last instance had applied `generation`; undefined until then. */
  appliedByAllAt(generation: number): number | undefined {
    const times = this.members.map(
      ({applied}) => applied.find(each => each.generation >= generation)?.at,
    );
    const known = times.filter(time => time !== undefined);
    return known.length === times.length ? Math.max(...known) : undefined;
  }

  private async add(index: number): Promise<RelayMember> {
    const server = http.createServer();
    countTraffic(server, this.traffic);
    const {address} = await listen(server);
    const zone = `zone-${index % this.zones}`;
    const id = `entry-${String(index).padStart(4, '0')}`;
    this.listedInstances.push({
      id,
      address,
      zone,
      role: 'entry',
      state: 'live',
      serves: [],
    });
    const transport = protocol.createHttpTransport({innerKey: 'k'.repeat(32)});
    const usage = {calls: 0, bytes: 0};
    const applied: {generation: number; at: number}[] = [];
    const follower = new membership.ConfigurationFollower({
      environment: ENVIRONMENT,
      store: countingStore.createCountingStore(this.store, usage),
      instances: {
        list: () => Promise.resolve(purify.Right(this.listedInstances)),
      },
      transport: transport.send,
      peers: new membership.PeerTable({
        id,
        address,
        zone,
        state: 'live',
        incarnation: Date.now(),
      }),
      clock: ports.systemClock,
      random: this.random,
      onChange: ({generation}) => {
        applied.push({generation, at: ports.systemClock.now()});
      },
    });
    const peerServer = protocol.createPeerServer(follower.handlers());
    server.on('request', (request, response) => {
      void readBody(request).then(async text => {
        response.setHeader('content-type', 'application/json');
        response.end(await peerServer.handle(text));
      });
    });
    const close = async () => {
      await follower.stop();
      transport.close();
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    };
    return {follower, usage, applied, close};
  }
}
