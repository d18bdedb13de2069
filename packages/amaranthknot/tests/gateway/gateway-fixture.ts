/** Starts gateway instances with a fake store and fake upstreams. */
import * as http from 'node:http';
import type * as configuration from '@amaranthknot/configuration';
import * as fakes from '@amaranthknot/fakes';
import * as fleet from '@amaranthknot/fleet';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as gatewayState from '../../src/gateway/gateway-state.js';
import * as gatewayInstance from '../../src/gateway/gateway-instance.js';
import * as settingsSource from '../../src/gateway/settings-source.js';

/** Host of all routes. */
export const HOST = 'svc.example';
/** Key of the one workspace. */
export const KEY = 'key-of-north';

/** Paths of the routes, by route name. */
export const PATHS = {
  read: '/read/1',
  book: '/book/1',
  stream: '/stream/1',
  once: '/once/1',
  model: '/model/1',
} as const;

export const SERVICE = 'svc';

/** Fields that a test overrides on all routes, or on the service. */
type Overrides = Readonly<Record<string, unknown>>;

const createRoute = (
  name: string,
  kind: string,
  extra: Readonly<Record<string, unknown>>,
): unknown => ({
  name,
  host: HOST,
  pathPrefix: `/${name}/`,
  kind,
  timeoutMs: 4_000,
  targetLatencyMs: 1_000,
  priority: 0,
  service: SERVICE,
  maxAttempts: 3,
  public: false,
  ...extra,
});

/** The operators' manifest, as the store holds it. */
export const createManifest = (
  version: number,
  overrides: Overrides = {},
  serviceOverrides: Overrides = {},
): unknown => ({
  version,
  routes: [
    createRoute('read', 'idempotent', overrides),
    createRoute('book', 'non_idempotent', {maxAttempts: 1, ...overrides}),
    createRoute('stream', 'streaming', {
      resumeStreams: true,
      gapTargetMs: 500,
      ...overrides,
    }),
    createRoute('once', 'streaming', overrides),
    createRoute('model', 'streaming', {
      resumeStreams: true,
      sizes: ['small', 'large'],
      ...overrides,
    }),
  ],
  services: [
    {
      name: SERVICE,
      healthCheckPath: '/health',
      connectionLimit: 100,
      coldStartS: 0,
      coldPerS: 0,
      engine: {
        slots: 8,
        kvCacheTokens: 10_000,
        models: [
          {name: 'small', cost: 0.02},
          {name: 'large', cost: 0.3},
        ],
      },
      ...serviceOverrides,
    },
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  },
  tenants: [{name: 'north', apiKeys: [KEY]}],
});

/** An upstream's entry, as the store holds it. */
export const createEntry = (
  address: string,
  overrides: Readonly<Record<string, unknown>> = {},
): unknown => ({
  service: SERVICE,
  address,
  zone: 'zone-a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldRemainingMs: 0,
  born: 1,
  sequence: 1,
  ...overrides,
});

/** A member entry, as peers list it. */
export const createMember = (id: string, zone = 'a'): protocol.Member => ({
  id,
  zone,
  callers: `${id}:1`,
  peers: `${id}:2`,
  start: 1,
  revision: 1,
  phase: 'serving',
  store: 'reached',
  cores: 1,
});

/** Empty views of all kinds. */
export const createViews = (): gatewayState.ViewsByKind => {
  const view = (kind: gatewayState.FollowedKind) =>
    new fleet.KindView(platform.STORE_KINDS[kind]);
  return {
    configuration: view('configuration'),
    upstreams: view('upstreams'),
    rollouts: view('rollouts'),
    evacuations: view('evacuations'),
  };
};

/** Bounds as in the deployments of users. */
export const BOUNDS: configuration.GatewayBounds = {
  change: {
    configurationMs: 2_000,
    leavingMs: 2_000,
    evacuationMs: 5_000,
    revocationMs: 5_000,
    stopGraceMs: 8_000,
    stabilityMs: 3_000,
  },
  retry: {ratio: 0.9, slack: 50, windowMs: 10_000},
  exposure: {share: 0.15, slack: 30, rollbackMs: 5_000},
  cold: {overrun: 1.5, slack: 5},
  sessionMs: 5_000,
  addressMaxAgeMs: 5_000,
};

const createSettings = async (
  id: string,
  store: string,
  seeds: readonly configuration.Address[],
  sourceAddress: string,
): Promise<configuration.GatewaySettings> => {
  const local = async (): Promise<configuration.Address> => ({
    host: '127.0.0.1',
    port: await fakes.drawFreePort(),
  });
  const [host = '', port = ''] = store.split(':');
  return {
    instance: {id, zone: 'zone-a', region: 'north'},
    zones: new Map([['zone-a', 'north']]),
    listen: {
      callers: await local(),
      readiness: await local(),
      directory: await local(),
      peers: await local(),
    },
    sourceAddress,
    seeds,
    isBootstrap: false,
    store: {
      address: {host, port: Number(port)},
      writesPerSecond: 400,
      readsPerSecond: 2_000,
    },
    bounds: BOUNDS,
    limits: {memoryMb: 300, fileDescriptors: 4_000, cores: 1},
    log: {level: 'error'},
  };
};

/** Settings that a reload leaves as they are. */
export const createSource = (
  settings: configuration.GatewaySettings,
): settingsSource.SettingsSource =>
  new settingsSource.SettingsSource(
    settings,
    '',
    () => purify.Right(''),
    'test',
  );

/** An answer as the caller receives it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer is complete by its HTTP framing. */
  readonly isComplete: boolean;
}

/** What a caller sends. */
export interface CallerCall {
  readonly path: string;
  readonly method?: string;
  readonly id?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: http.Agent;
}

/** A running deployment. */
export interface GatewayFixture {
  readonly store: fakes.MemoryObjectStore;
  readonly storeServer: fakes.ObjectApiServer;
  readonly instances: readonly gatewayInstance.GatewayInstance[];
  readonly settings: readonly configuration.GatewaySettings[];
  readonly call: (call: CallerCall, instance?: number) => Promise<CallerAnswer>;
  /** Creates an upstream in the store and waits until all instances know it. */
  readonly register: (
    id: string,
    upstream: {readonly address: string},
    overrides?: Readonly<Record<string, unknown>>,
  ) => Promise<void>;
  /** Ends an instance without grace and starts it again. */
  readonly restart: (instance: number) => Promise<void>;
  readonly stop: () => Promise<void>;
}

let lastId = 0;

/** IP address from which an instance calls upstreams, by its index. */
export const findSource = (instance: number): string =>
  `127.0.0.${10 + instance}`;

/**
 * Sends a request and reads the answer until it ends or the connection fails.
 */
const send = (
  address: configuration.Address,
  call: CallerCall,
): Promise<CallerAnswer> =>
  new Promise((resolve, reject) => {
    const body = call.body ?? '';
    const request = http.request({
      ...address,
      method: call.method ?? 'GET',
      path: call.path,
      ...(call.agent ? {agent: call.agent} : {}),
      headers: {
        Host: HOST,
        'X-Attempt-Id': call.id ?? `id-${++lastId}`,
        'X-Remaining-Milliseconds': '3000',
        'Api-Key': KEY,
        ...(body === '' ? {} : {'Content-Length': String(body.length)}),
        ...call.headers,
      },
    });
    request.once('response', response => {
      const chunks: Buffer[] = [];
      const finish = () => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        });
      };
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('error', finish);
      response.once('close', finish);
    });
    request.once('error', reject);
    request.end(body);
  });

/**
 * Starts a store with a manifest and `count` instances; resolves when all
 * serve.
 *
 * @param utilizations how busy each instance is, 0 to 1; idle by default, as
 *     the event loop that they share here is no measure of one instance.
 */
export const startGateway = async (
  count = 1,
  manifest = createManifest(1),
  utilizations: readonly number[] = [],
): Promise<GatewayFixture> => {
  const clock = ports.systemClock;
  const storeServer = new fakes.ObjectApiServer(clock);
  await storeServer.start();
  const {store} = storeServer;
  await store.create('config', 'main', manifest);
  const settings: configuration.GatewaySettings[] = [];
  for (let i = 0; i < count; i++) {
    const seeds = settings.map(({listen}) => listen.peers);
    const id = `instance-${i + 1}`;
    const source = findSource(i);
    settings.push(await createSettings(id, storeServer.address, seeds, source));
  }
  const createInstance = (
    own: configuration.GatewaySettings,
    index: number,
  ): gatewayInstance.GatewayInstance =>
    new gatewayInstance.GatewayInstance({
      settings: createSource(own),
      clock,
      random: fakes.createRandom(index + 1),
      readUtilization: () => utilizations[index] ?? 0,
    });
  const instances = settings.map(createInstance);
  await Promise.all(instances.map(instance => instance.start()));
  await waitUntil(() => instances.every(instance => instance.isServing()));
  return {
    store,
    storeServer,
    instances,
    settings,
    call: (call, instance = 0) => {
      const address = settings[instance]?.listen.callers;
      if (!address) {
        throw new Error(`no instance ${instance}`);
      }
      return send(address, call);
    },
    register: async (id, upstream, overrides) => {
      const entry = createEntry(upstream.address, overrides);
      await store.create('servers', id, entry);
      await waitUntil(() =>
        instances.every(instance => instance.knowsUpstream(id)),
      );
    },
    restart: async index => {
      const own = settings[index];
      if (!own) {
        throw new Error(`no instance ${index}`);
      }
      await instances[index]?.kill();
      const restarted = createInstance(own, index);
      instances[index] = restarted;
      await restarted.start();
      await waitUntil(() => restarted.isServing(), 'the instance to serve');
    },
    stop: async () => {
      await Promise.all(instances.map(instance => instance.kill()));
      await storeServer.stop();
    },
  };
};

/** Resolves after `ms` milliseconds. */
export const pause = (ms: number): Promise<void> => ports.systemClock.sleep(ms);

/** Time after which a wait for a condition fails, in milliseconds. */
const CONDITION_TIMEOUT_MS = 10_000;

/** Polls until `isTrue` holds; throws after `CONDITION_TIMEOUT_MS`. */
export const waitUntil = async (
  isTrue: () => boolean,
  what = 'a condition',
): Promise<void> => {
  const end = ports.systemClock.now() + CONDITION_TIMEOUT_MS;
  while (!isTrue()) {
    if (ports.systemClock.now() > end) {
      throw new Error(`timed out waiting for ${what}`);
    }
    await ports.systemClock.sleep(5);
  }
};
