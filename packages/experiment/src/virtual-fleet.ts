/**
 * Many gateway instances in one process, on a virtual clock and without
 * sockets: they follow one store and tell each other what they know, wired as
 * they run.
 */
import * as amaranthknot from '@amaranthknot/amaranthknot';
import type * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';

/** One way between two instances, in milliseconds. */
const LINK_MS = 1;

/** Delay of each call to the store, in milliseconds. */
const STORE_MS = 4;

/** Time after which a call to the store that is not answered fails, in ms. */
const STORE_TIMEOUT_MS = 1_000;

/** Instances that all settings name as seeds. */
const SEEDS = 3;

const PORT = 7_000;

/** One instance of the fleet. */
export interface VirtualInstance {
  readonly id: string;
  readonly zone: string;
  readonly get: amaranthknot.GatewayResolver;
}

/** A running fleet. */
export interface VirtualFleet {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
  /** Instances that run now. */
  readonly live: () => readonly VirtualInstance[];
  /** Ends an instance's process; it answers nobody any more. */
  readonly kill: (id: string) => void;
  /** Cuts the power of an instance; calls to it get no answer at all. */
  readonly cutPower: (id: string) => void;
  /** Cuts an instance off from all others and the store; it runs on. */
  readonly cutOff: (id: string) => void;
  /** Ends all cuts. */
  readonly heal: () => void;
  /** Starts the process of an instance again. */
  readonly restart: (id: string) => void;
  /** What goes wrong with each call to the store from now on. */
  readonly setStoreFault: (fault: fakes.StoreFault) => void;
  /** Bytes of messages that instances have sent to each other. */
  readonly sentBytes: () => number;
}

/** What the fleet looks like. */
export interface VirtualFleetOptions {
  readonly instances: number;
  readonly zones: number;
  readonly seed?: number;
  readonly bounds: configuration.GatewayBounds;
  /** The operators' configuration, as the store holds it. */
  readonly manifest: unknown;
  /** Parts that each instance has in place of its own. */
  readonly overrides?: amaranthknot.ComponentOverrides;
}

const hostOf = (index: number): string =>
  `10.0.${Math.floor(index / 250)}.${1 + (index % 250)}`;

const createSettings = (
  index: number,
  {zones, bounds}: VirtualFleetOptions,
): configuration.GatewaySettings => {
  const address = {host: hostOf(index), port: PORT};
  return {
    instance: {
      id: `instance-${index}`,
      zone: `zone-${index % zones}`,
      region: 'north',
    },
    zones: new Map(
      Array.from({length: zones}, (_, zone) => [`zone-${zone}`, 'north']),
    ),
    listen: {
      callers: address,
      readiness: address,
      directory: address,
      peers: address,
    },
    seeds: Array.from({length: SEEDS}, (_, seed) => ({
      host: hostOf(seed),
      port: PORT,
    })),
    store: {address, writesPerSecond: 3_200, readsPerSecond: 16_000},
    bounds,
    limits: {memoryMb: 300, fileDescriptors: 4_000, cores: 1},
    log: {level: 'error'},
  };
};

/** Settings that a reload leaves as they are. */
const createSource = (
  settings: configuration.GatewaySettings,
): amaranthknot.SettingsSource =>
  new amaranthknot.SettingsSource(
    settings,
    '',
    () => purify.Right(''),
    'virtual',
  );

interface Running extends VirtualInstance {
  readonly ending: AbortController;
}

/** Starts all instances within 0.3 s of each other. */
export const startVirtualFleet = async (
  options: VirtualFleetOptions,
): Promise<VirtualFleet> => {
  const clock = new fakes.VirtualClock();
  const random = fakes.createRandom(options.seed ?? 1);
  let storeFault: fakes.StoreFault = 'none';
  const store = new fakes.MemoryObjectStore({
    clock,
    delayMs: () => STORE_MS,
    fault: () => storeFault,
  });
  const running = new Map<string, Running>();
  const dark = new Set<string>();
  const apart = new Set<string>();
  const network = createNetwork(clock, running, host =>
    dark.has(host) || apart.has(host) ? 'silent' : 'reached',
  );
  const setUp = store.create(
    platform.STORE_KINDS.configuration,
    platform.CONFIGURATION_NAME,
    options.manifest,
  );
  await clock.advance(2 * STORE_MS);
  await setUp;

  const start = (index: number): void => {
    const settings = createSettings(index, options);
    const ending = new AbortController();
    const host = hostOf(index);
    const wired = {
      settings: createSource(settings),
      clock,
      random: fakes.createRandom(Math.floor(random() * 2 ** 31)),
      store: withCut(store, async () => {
        if (apart.has(host)) {
          await clock.sleep(STORE_TIMEOUT_MS);
        }
        return apart.has(host);
      }),
      transport: network.transportOf(host),
    };
    const get = amaranthknot.wireGateway(wired, options.overrides);
    const {id, zone} = settings.instance;
    running.set(host, {id, zone, get, ending});
    const loops = new amaranthknot.InstanceLoops(get, {
      isReady: () => get('state').isSynced(),
      reload: () => undefined,
    });
    void loops.followStore(ending.signal);
    loops.exchangeWithPeers(ending.signal);
    void loops.tick(ending.signal);
  };
  const indexes = Array.from({length: options.instances}, (_, index) => index);
  for (const index of indexes) {
    void clock.sleep(300 * random()).then(() => {
      start(index);
    });
  }
  const indexOf = (id: string): number => Number(id.split('-').at(-1));
  const kill = (id: string): void => {
    const host = hostOf(indexOf(id));
    running.get(host)?.ending.abort();
    running.delete(host);
  };
  return {
    clock,
    store,
    live: () => [...running.values()],
    kill,
    cutPower: id => {
      dark.add(hostOf(indexOf(id)));
      kill(id);
    },
    cutOff: id => {
      apart.add(hostOf(indexOf(id)));
    },
    heal: () => {
      apart.clear();
    },
    restart: id => {
      dark.delete(hostOf(indexOf(id)));
      start(indexOf(id));
    },
    setStoreFault: fault => {
      storeFault = fault;
    },
    sentBytes: network.sentBytes,
  };
};

/** The store as one instance reaches it; calls across a cut fail. */
const withCut = (
  store: ports.StatusStore,
  isCut: () => Promise<boolean>,
): ports.StatusStore => {
  const call = async <T>(
    reach: () => Promise<ports.StoreResult<T>>,
  ): Promise<ports.StoreResult<T>> =>
    (await isCut())
      ? purify.Left({code: 'unknown', message: 'no answer'})
      : reach();
  return {
    get: (...args) => call(() => store.get(...args)),
    list: (...args) => call(() => store.list(...args)),
    watch: (...args) => call(() => store.watch(...args)),
    create: (...args) => call(() => store.create(...args)),
    update: (...args) => call(() => store.update(...args)),
    updateStatus: (...args) => call(() => store.updateStatus(...args)),
    delete: (...args) => call(() => store.delete(...args)),
  };
};

/** Carries messages between running instances, each way in `LINK_MS`. */
const createNetwork = (
  clock: fakes.VirtualClock,
  running: ReadonlyMap<string, Running>,
  findWay: (host: string) => 'reached' | 'silent',
): {
  readonly transportOf: (host: string) => protocol.HttpTransport;
  readonly sentBytes: () => number;
} => {
  let bytes = 0;
  const send = async (
    from: string,
    address: string,
    text: string,
    timeoutMs: number,
  ): ReturnType<protocol.PeerTransport> => {
    bytes += text.length;
    await clock.sleep(LINK_MS);
    const host = address.split(':')[0] ?? '';
    const peer = running.get(host);
    if (findWay(from) === 'silent' || findWay(host) === 'silent') {
      await clock.sleep(timeoutMs);
      return purify.Left({code: 'unknown', message: 'no answer'});
    }
    if (!peer) {
      return purify.Left({code: 'not_sent', message: 'no one listens'});
    }
    const timedOut = clock.sleep(timeoutMs).then(() => undefined);
    const answer = await Promise.race([
      peer.get('peerServer').handle(text),
      timedOut,
    ]);
    if (answer === undefined || peer.ending.signal.aborted) {
      return purify.Left({code: 'unknown', message: 'no answer'});
    }
    bytes += answer.length;
    await clock.sleep(LINK_MS);
    return purify.Right(answer);
  };
  return {
    transportOf: from => ({
      send: (...message) => send(from, ...message),
      close: () => undefined,
    }),
    sentBytes: () => bytes,
  };
};
