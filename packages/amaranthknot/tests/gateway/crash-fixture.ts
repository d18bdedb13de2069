/**
 * A deployment whose upstreams end when they begin to answer a request with one
 * part in its prompt, and come back under a new id.
 */
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';

/** The part of prompts under which upstreams end. */
export const FATAL_PART = 'fa7a1';

/** The part that all prompts begin with. */
export const FIRST_PART = 'f1';

/** Time for which an upstream is down after an end, in milliseconds. */
const DOWN_MS = 2_000;

/** Time until an upstream begins to answer, and between events, in ms. */
const WORK_MS = 60;
const EVENT_MS = 40;

const EVENTS = 5;

const WHOLE_STREAM = Array.from({length: EVENTS}, (_, index) =>
  fakes.formatEvent(index + 1),
).join('');

/** A request that reached an upstream. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly isFatal: boolean;
}

/** The end of an upstream. */
export interface CrashEnd {
  readonly atMs: number;
  /** The request under which it ended; undefined if a test ended it. */
  readonly request: string | undefined;
}

/** What callers got for the requests of a load. */
export interface LoadResult {
  readonly sent: number;
  readonly served: number;
}

/** Ids and tokens of a prompt's parts, the first one first. */
export type CreatePrompt = (number: number) => readonly string[];

/** A running deployment whose upstreams end. */
export interface CrashingGateway {
  readonly gateway: fixture.GatewayFixture;
  readonly arrivals: readonly Arrival[];
  readonly ends: readonly CrashEnd[];
  /** Sends requests at a rate to all instances in turn; resolves at their ends. */
  readonly load: (
    perSecond: number,
    forMs: number,
    createPrompt: CreatePrompt,
  ) => Promise<LoadResult>;
  /** Ends the upstreams with these indexes. */
  readonly crash: (indexes: readonly number[]) => void;
  readonly stop: () => Promise<void>;
}

/** A sound prompt: what all share, and what belongs to the request. */
export const createSoundPrompt: CreatePrompt = number => [
  `${FIRST_PART}:500`,
  `own${number}:200`,
];

const isFatal = ({headers}: fakes.ParsedRequest): boolean =>
  headers['x-prompt-prefix']?.includes(`${FATAL_PART}:`) === true;

/** One place in the fleet: an upstream, and those that follow it there. */
class Place {
  private starts = 0;
  private server: fakes.ScriptedUpstream | undefined;

  constructor(
    private readonly index: number,
    private readonly fleet: Fleet,
  ) {}

  async start(): Promise<void> {
    const {gateway} = this.fleet;
    const server = new fakes.ScriptedUpstream(exchange => {
      this.answer(server, exchange);
    });
    await server.start();
    this.server = server;
    this.starts++;
    await gateway.store.create(
      'servers',
      this.id,
      fixture.createEntry(server.address, {slots: 32}),
    );
  }

  get id(): string {
    return `u-${this.index}.${this.starts}`;
  }

  /** Ends with all that it runs, and comes back later. */
  crash(request: string | undefined): void {
    const {server, id, fleet} = this;
    if (!server || fleet.isStopped) {
      return;
    }
    this.server = undefined;
    server.crash();
    fleet.ends.push({atMs: ports.systemClock.now(), request});
    setTimeout(() => {
      void this.comeBack(id);
    }, DOWN_MS);
  }

  async stop(): Promise<void> {
    await this.server?.stop();
  }

  private async comeBack(before: string): Promise<void> {
    const {gateway, isStopped} = this.fleet;
    if (isStopped) {
      return;
    }
    const entry = await gateway.store.get('servers', before);
    const version = entry.map(found => found.version).orDefault(0);
    await gateway.store.delete('servers', before, version);
    await this.start();
  }

  private answer(
    server: fakes.ScriptedUpstream,
    {request, socket}: fakes.UpstreamExchange,
  ): void {
    if (request.target === '/health') {
      socket.write(fakes.formatAnswer(request, ''));
      return;
    }
    const id = request.headers['x-attempt-id'] ?? '';
    this.fleet.arrivals.push({
      id,
      atMs: ports.systemClock.now(),
      isFatal: isFatal(request),
    });
    setTimeout(() => {
      if (socket.destroyed) {
        return;
      }
      socket.write(fakes.formatStreamHead(request));
      if (isFatal(request) && this.server === server) {
        setTimeout(() => {
          this.crash(id);
        }, EVENT_MS);
        return;
      }
      writeEvents({request, socket});
    }, WORK_MS);
  }
}

const writeEvents = ({
  request,
  socket,
}: Pick<fakes.UpstreamExchange, 'request' | 'socket'>): void => {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  for (let id = first; id <= EVENTS; id++) {
    setTimeout(
      () => {
        socket.write(fakes.formatChunk(fakes.formatEvent(id)));
      },
      (id - first) * EVENT_MS,
    );
  }
  setTimeout(
    () => {
      socket.write(fakes.LAST_CHUNK);
    },
    (EVENTS - first + 1) * EVENT_MS,
  );
};

interface Fleet {
  readonly gateway: fixture.GatewayFixture;
  readonly arrivals: Arrival[];
  readonly ends: CrashEnd[];
  isStopped: boolean;
}

/** Starts instances and upstreams. */
export const startCrashingGateway = async (
  instances: number,
  upstreams: number,
): Promise<CrashingGateway> => {
  const gateway = await fixture.startGateway(instances);
  const fleet: Fleet = {gateway, arrivals: [], ends: [], isStopped: false};
  const places = Array.from(
    {length: upstreams},
    (_, index) => new Place(index, fleet),
  );
  await Promise.all(places.map(place => place.start()));
  await fixture.waitUntil(
    () =>
      gateway.instances.every(instance =>
        places.every(({id}) => instance.knowsUpstream(id)),
      ),
    'all instances to know all upstreams',
  );
  let lastId = 0;
  const send = async (prompt: readonly string[]): Promise<boolean> => {
    const number = ++lastId;
    const call = {
      path: fixture.PATHS.stream,
      method: 'POST',
      id: `load-${number}`,
      headers: {
        'X-Model': 'small',
        'X-Token-Counts': '1000,30',
        'X-Prompt-Prefix': prompt.join(),
      },
    };
    return gateway.call(call, number % instances).then(
      ({status, body, isComplete}) =>
        status === 200 && isComplete && body === WHOLE_STREAM,
      () => false,
    );
  };
  return {
    gateway,
    arrivals: fleet.arrivals,
    ends: fleet.ends,
    load: async (perSecond, forMs, createPrompt) => {
      const sent: Promise<boolean>[] = [];
      const intervalMs = 1_000 / perSecond;
      const startedAtMs = ports.systemClock.now();
      while (ports.systemClock.now() < startedAtMs + forMs) {
        sent.push(send(createPrompt(lastId)));
        const nextAtMs = startedAtMs + sent.length * intervalMs;
        await ports.systemClock.sleep(
          Math.max(0, nextAtMs - ports.systemClock.now()),
        );
      }
      const results = await Promise.all(sent);
      return {sent: sent.length, served: results.filter(Boolean).length};
    },
    crash: indexes => {
      indexes.forEach(index => places[index]?.crash(undefined));
    },
    stop: async () => {
      fleet.isStopped = true;
      await gateway.stop();
      await Promise.all(places.map(place => place.stop()));
    },
  };
};
