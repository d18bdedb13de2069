/**
 * Runs many gateway instances in one process, on a virtual clock and without
 * sockets. They are wired as in production, follow one in-memory store and
 * exchange peer messages.
 */
import * as amaranthknot from '@amaranthknot/amaranthknot';
import type * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';

/** One-way delay between two instances, in milliseconds. */
const LINK_DELAY_MS = 1;

/** Delay of each call to the store, in milliseconds. */
const STORE_DELAY_MS = 4;

/** Timeout of a call to the store that gets no answer, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000;

/** Number of instances that are seeds in all settings. */
const SEED_COUNT = 3;

const PORT = 7_000;

/** One instance of the fleet. */
export interface VirtualInstance {
  readonly id: string;
  readonly zone: string;
  readonly get: amaranthknot.GatewayResolver;
  /** The clocks of its machine. */
  readonly machine: fakes.MachineClock;
}

/** A running fleet. */
export interface VirtualFleet {
  readonly clock: fakes.VirtualClock;
  readonly store: fakes.MemoryObjectStore;
  /** Returns the running instances. */
  readonly live: () => readonly VirtualInstance[];
  /** Stops an instance without grace; messages to it are refused. */
  readonly kill: (id: string) => void;
  /** Stops an instance; messages to it time out. */
  readonly cutPower: (id: string) => void;
  /** Cuts a running instance off from the others and the store. */
  readonly isolate: (id: string) => void;
  /** Ends all isolation. */
  readonly heal: () => void;
  /**
   * Divides the fleet into parts that don't reach each other, but the store:
   * one for each list, and one for all that are in none.
   */
  readonly separate: (parts: readonly (readonly string[])[]) => void;
  /** Starts a stopped instance again. */
  readonly restart: (id: string) => void;
  /** Sets the fault of all calls to the store from now on. */
  readonly setStoreFault: (fault: fakes.StoreFault) => void;
  /** Returns the total length of peer messages and answers, in characters. */
  readonly sentBytes: () => number;
}

/** Options of a virtual fleet. */
export interface VirtualFleetOptions {
  readonly instances: number;
  readonly zones: number;
  /** Whether the fleet starts for the first time; false by default. */
  readonly isBootstrap?: boolean;
  readonly seed?: number;
  readonly bounds: configuration.GatewayBounds;
  /** The operators' configuration, as stored. */
  readonly manifest: unknown;
  /** Components that replace those of each instance. */
  readonly overrides?: amaranthknot.ComponentOverrides;
  /** One-way delay of a message, in milliseconds; `LINK_DELAY_MS` by default. */
  readonly linkDelayMs?: () => number;
}

const hostOf = (index: number): string =>
  `10.0.${Math.floor(index / 250)}.${1 + (index % 250)}`;

const createSettings = (
  index: number,
  {zones, bounds, isBootstrap = false}: VirtualFleetOptions,
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
    seeds: Array.from({length: SEED_COUNT}, (_, seed) => ({
      host: hostOf(seed),
      port: PORT,
    })),
    isBootstrap,
    store: {address, writesPerSecond: 3_200, readsPerSecond: 16_000},
    bounds,
    limits: {memoryMb: 300, fileDescriptors: 4_000, cores: 1},
    log: {level: 'error'},
  };
};

/** Creates a source whose settings do not change on reload. */
const createSource = (
  settings: configuration.GatewaySettings,
): amaranthknot.SettingsSource =>
  new amaranthknot.SettingsSource(
    settings,
    '',
    () => purify.Right(''),
    'virtual',
  );

interface RunningInstance extends VirtualInstance {
  readonly stopController: AbortController;
}

/** Starts a fleet; its instances start within 0.3 s once the clock advances. */
export const startVirtualFleet = async (
  options: VirtualFleetOptions,
): Promise<VirtualFleet> => {
  const clock = new fakes.VirtualClock();
  const random = fakes.createRandom(options.seed ?? 1);
  let storeFault: fakes.StoreFault = 'none';
  const store = new fakes.MemoryObjectStore({
    clock,
    delayMs: () => STORE_DELAY_MS,
    fault: () => storeFault,
  });
  const running = new Map<string, RunningInstance>();
  const poweredOff = new Set<string>();
  const isolated = new Set<string>();
  /** Parts of a divided fleet, by host. */
  const parts = new Map<string, number>();
  const network = createNetwork({
    clock,
    running,
    linkDelayMs: options.linkDelayMs ?? (() => LINK_DELAY_MS),
    findReachability: host =>
      poweredOff.has(host) || isolated.has(host) ? 'silent' : 'reached',
    isSeparated: (a, b) => parts.get(a) !== parts.get(b),
  });
  const manifestCreated = store.create(
    platform.STORE_KINDS.configuration,
    platform.CONFIGURATION_NAME,
    options.manifest,
  );
  await clock.advance(2 * STORE_DELAY_MS);
  await manifestCreated;

  const start = (index: number): void => {
    const settings = createSettings(index, options);
    const stopController = new AbortController();
    const host = hostOf(index);
    const machine = new fakes.MachineClock(clock);
    const gatewayOptions = {
      settings: createSource(settings),
      clock: ports.createSuspendAwareClock(machine),
      random: fakes.createRandom(Math.floor(random() * 2 ** 31)),
      store: createInstanceStore(store, machine, async () => {
        if (isolated.has(host)) {
          await clock.sleep(STORE_TIMEOUT_MS);
        }
        return isolated.has(host);
      }),
      transport: network.transportOf(host),
      // The event loop of this process is no measure of one instance.
      readUtilization: () => 0,
    };
    const get = amaranthknot.wireGateway(gatewayOptions, options.overrides);
    const {id, zone} = settings.instance;
    running.set(host, {id, zone, get, machine, stopController});
    const loops = new amaranthknot.InstanceLoops(get, {
      isReady: () => get('state').isSynced(),
      reload: () => undefined,
    });
    void loops.followStore(stopController.signal);
    loops.exchangeWithPeers(stopController.signal);
    void loops.tick(stopController.signal);
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
    running.get(host)?.stopController.abort();
    running.delete(host);
  };
  return {
    clock,
    store,
    live: () => [...running.values()],
    kill,
    cutPower: id => {
      poweredOff.add(hostOf(indexOf(id)));
      kill(id);
    },
    isolate: id => {
      isolated.add(hostOf(indexOf(id)));
    },
    heal: () => {
      isolated.clear();
      parts.clear();
    },
    separate: lists => {
      lists.forEach((ids, part) => {
        ids.forEach(id => parts.set(hostOf(indexOf(id)), part));
      });
    },
    restart: id => {
      poweredOff.delete(hostOf(indexOf(id)));
      start(indexOf(id));
    },
    setStoreFault: fault => {
      storeFault = fault;
    },
    sentBytes: network.sentBytes,
  };
};

/**
 * The store as one instance reaches it: calls fail while it is isolated, and
 * answers wait while its machine is suspended.
 */
const createInstanceStore = (
  store: ports.StatusStore,
  machine: fakes.MachineClock,
  isIsolated: () => Promise<boolean>,
): ports.StatusStore => {
  const call = async <T>(
    reach: () => Promise<ports.StoreResult<T>>,
  ): Promise<ports.StoreResult<T>> => {
    const answer: ports.StoreResult<T> = (await isIsolated())
      ? purify.Left({code: 'unknown', message: 'no answer'})
      : await reach();
    await machine.whenRunning();
    return answer;
  };
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

interface NetworkOptions {
  readonly clock: fakes.VirtualClock;
  readonly running: ReadonlyMap<string, RunningInstance>;
  readonly linkDelayMs: () => number;
  readonly findReachability: (host: string) => 'reached' | 'silent';
  readonly isSeparated: (host: string, other: string) => boolean;
}

/** Carries messages between running instances. */
const createNetwork = ({
  clock,
  running,
  linkDelayMs,
  findReachability,
  isSeparated,
}: NetworkOptions): {
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
    await clock.sleep(linkDelayMs());
    const host = address.split(':')[0] ?? '';
    const peer = running.get(host);
    if (
      findReachability(from) === 'silent' ||
      findReachability(host) === 'silent' ||
      isSeparated(from, host)
    ) {
      await clock.sleep(timeoutMs);
      return purify.Left({code: 'unknown', message: 'no answer'});
    }
    if (!peer) {
      return purify.Left({
        code: 'not_sent',
        message: `no instance runs at ${address}`,
      });
    }
    const timedOut = clock.sleep(timeoutMs).then(() => undefined);
    const answer = await Promise.race([answerOf(peer, text), timedOut]);
    if (answer === undefined || peer.stopController.signal.aborted) {
      return purify.Left({code: 'unknown', message: 'no answer'});
    }
    bytes += answer.length;
    await clock.sleep(linkDelayMs());
    return purify.Right(answer);
  };
  return {
    transportOf: from => ({
      send: async (...message) => {
        const answer = await send(from, ...message);
        await running.get(from)?.machine.whenRunning();
        return answer;
      },
      close: () => undefined,
    }),
    sentBytes: () => bytes,
  };
};

/** The answer of an instance, which handles nothing while it is suspended. */
const answerOf = async (
  {get, machine}: RunningInstance,
  text: string,
): Promise<string> => {
  await machine.whenRunning();
  const answer = await get('peerServer').handle(text);
  await machine.whenRunning();
  return answer;
};
