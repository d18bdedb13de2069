/**
 * A deployment whose upstreams are in cold start: some are new, and some fall
 * silent and come back cold.
 */
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as fixture from './gateway-fixture.js';

/** Duration of a cold start, and requests a second that an upstream takes then. */
export const COLD_START_MS = 3_000;
const COLD_PER_S = 4;

/** Bound of the requests in any second, from all instances together. */
export const MOST_PER_S =
  COLD_PER_S * fixture.BOUNDS.cold.overrun + fixture.BOUNDS.cold.slack;

/**
 * The stored configuration, with a service whose upstreams start cold. Its
 * routes need no key, as keys expire while the store is away.
 */
export const createColdManifest = (coldPerS = COLD_PER_S): unknown =>
  fixture.createManifest(
    1,
    {public: true},
    {coldStartS: COLD_START_MS / 1_000, coldPerS, engine: undefined},
  );

const UPSTREAM_COUNT = 4;

/** Time that an upstream takes for an answer, in milliseconds. */
const WORK_MS = 250;

const SLOTS = 64;

/** How an upstream looks from outside while it is away. */
export type Absence =
  /** It accepts connections, and nothing comes back. */
  | 'silent'
  /** Connections are reset. */
  | 'refusing';

interface ColdUpstream {
  readonly id: string;
  readonly server: fakes.ScriptedUpstream;
  readonly proxy: fakes.LoopbackProxy;
  /** When each request arrived. */
  readonly arrivalsMs: number[];
  coldUntilMs: number;
}

/** A running deployment with upstreams that start cold. */
export interface ColdGateway {
  readonly gateway: fixture.GatewayFixture;
  /**
   * Sends requests to all instances in turn, no more at once on a machine that
   * is late; resolves to the part served.
   */
  readonly load: (perSecond: number, forMs: number) => Promise<number>;
  /** Takes an upstream away for a time; it is back cold under its id. */
  readonly returnCold: (
    upstream: number,
    absence: Absence,
    forMs: number,
  ) => Promise<void>;
  /** Cuts an instance off from an upstream, or ends that. */
  readonly cut: (instance: number, upstream: number, isCut: boolean) => void;
  /** Makes an upstream cold from now on. */
  readonly makeCold: (upstream: number) => void;
  /** Writes what an upstream says of itself to its entry. */
  readonly writeEntry: (upstream: number) => Promise<void>;
  /** Requests that an upstream got in a time. */
  readonly count: (upstream: number, fromMs: number, toMs: number) => number;
  /** Most requests that an upstream got in a second, from a time on. */
  readonly findMostPerS: (upstream: number, fromMs: number) => number;
  /** When an upstream got its first request from a time on. */
  readonly findFirstMs: (upstream: number, fromMs: number) => number;
  readonly stop: () => Promise<void>;
}

const startUpstream = async (index: number): Promise<ColdUpstream> => {
  const id = `u-${index + 1}`;
  const arrivalsMs: number[] = [];
  const clock = ports.systemClock;
  const server = new fakes.ScriptedUpstream(({request, socket}) => {
    if (request.target === '/health') {
      const coldForMs = Math.max(0, upstream.coldUntilMs - clock.now());
      const headers = {
        [platform.HEADER_NAMES.upstreamId]: id,
        [platform.HEADER_NAMES.coldFor]: String(Math.round(coldForMs)),
      };
      socket.write(fakes.formatAnswer(request, '', {headers}));
      return;
    }
    arrivalsMs.push(clock.now());
    setTimeout(() => {
      socket.write(fakes.formatAnswer(request, 'whole'));
    }, WORK_MS);
  });
  await server.start();
  const proxy = new fakes.LoopbackProxy(server.address);
  await proxy.start();
  const upstream: ColdUpstream = {
    id,
    server,
    proxy,
    arrivalsMs,
    coldUntilMs: -Infinity,
  };
  return upstream;
};

const countMostPerS = (timesMs: readonly number[]): number =>
  Math.max(
    0,
    ...timesMs.map(
      from => timesMs.filter(at => at >= from && at < from + 1_000).length,
    ),
  );

/** Starts instances and warm upstreams. */
export const startColdGateway = async (
  instances: number,
): Promise<ColdGateway> => {
  const clock = ports.systemClock;
  const gateway = await fixture.startGateway(instances, createColdManifest());
  const upstreams = await Promise.all(
    Array.from({length: UPSTREAM_COUNT}, (_, index) => startUpstream(index)),
  );
  for (const {id, proxy} of upstreams) {
    await gateway.register(id, proxy, {slots: SLOTS});
  }
  const get = (index: number): ColdUpstream => {
    const upstream = upstreams[index];
    if (!upstream) {
      throw new Error(`no upstream ${index}`);
    }
    return upstream;
  };
  const send = (instance: number): Promise<boolean> =>
    gateway.call({path: fixture.PATHS.read}, instance).then(
      ({status}) => status === 200,
      () => false,
    );
  const makeCold = (index: number): void => {
    get(index).coldUntilMs = clock.now() + COLD_START_MS;
  };
  return {
    gateway,
    load: async (perSecond, forMs) => {
      const sent: Promise<boolean>[] = [];
      const endMs = clock.now() + forMs;
      while (clock.now() < endMs) {
        sent.push(send(sent.length % instances));
        await clock.sleep(1_000 / perSecond);
      }
      const answers = await Promise.all(sent);
      return answers.filter(isServed => isServed).length / answers.length;
    },
    returnCold: async (index, absence, forMs) => {
      const {proxy} = get(index);
      proxy.mode = absence;
      if (absence === 'refusing') {
        proxy.resetAll();
      }
      await clock.sleep(forMs);
      proxy.resetAll();
      proxy.mode = 'open';
      makeCold(index);
    },
    cut: (instance, index, isCut) => {
      const source = fixture.findSource(instance);
      get(index).proxy.setModeOf(source, isCut ? 'refusing' : undefined);
      get(index).proxy.resetAll(source);
    },
    makeCold,
    writeEntry: async index => {
      const {id, proxy, coldUntilMs} = get(index);
      const found = await gateway.store.get('servers', id);
      const coldRemainingMs = Math.max(0, coldUntilMs - clock.now());
      await gateway.store.update(
        'servers',
        id,
        fixture.createEntry(proxy.address, {
          slots: SLOTS,
          born: 2,
          coldRemainingMs: Math.round(coldRemainingMs),
        }),
        found.unsafeCoerce().version,
      );
    },
    count: (index, fromMs, toMs) =>
      get(index).arrivalsMs.filter(at => at >= fromMs && at < toMs).length,
    findMostPerS: (index, fromMs) =>
      countMostPerS(get(index).arrivalsMs.filter(at => at >= fromMs)),
    findFirstMs: (index, fromMs) =>
      get(index).arrivalsMs.find(at => at >= fromMs) ?? Infinity,
    stop: async () => {
      await gateway.stop();
      await Promise.all(upstreams.map(({proxy}) => proxy.stop()));
      await Promise.all(upstreams.map(({server}) => server.stop()));
    },
  };
};
