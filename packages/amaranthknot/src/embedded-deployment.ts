/**
 * Runs a whole deployment in one process: fakes and entry instances on
 * loopback, for the demo, tests and benchmarks.
 */
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as configuration from '@amaranthknot/configuration';
import type * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';
import * as membership from '@amaranthknot/membership';
import * as ports from '@amaranthknot/ports';
import * as entryInstance from './entry-instance.js';

/** Configuration of an embedded deployment. */
export interface EmbeddedOptions {
  readonly environment: string;
  readonly document: configuration.Document;
  /** Engines and services; each gets a free port in place of its address. */
  readonly upstreams: readonly ports.ListedInstance[];
  /** Zone of each entry instance. */
  readonly zones: readonly string[];
  readonly limits?: Partial<configuration.InstanceLimits>;
  /** Time between an engine's tokens, in milliseconds. */
  readonly tokenMs?: number;
  /** Timing of warm-up grants; `decisions.WARM_UP_TIMING` by default. */
  readonly warmUpTiming?: decisions.WarmUpTiming;
  /** Random source of the instance at an index; `Math.random` by default. */
  readonly createRandom?: (index: number) => () => number;
}

/** A running embedded deployment. */
export interface EmbeddedDeployment {
  readonly fakes: fakes.FakeDeployment;
  readonly instances: readonly entryInstance.EntryInstance[];
  /** `ip:port` of each entry instance. */
  readonly addresses: readonly string[];
  readonly operatorKey: string;
  stop(): Promise<void>;
}

/** Shorter limits than in production, so that a deployment stops quickly. */
const SHORT_LIMITS: Partial<configuration.InstanceLimits> = {
  stopGraceMs: 5_000,
  addressMaxAgeMs: 100,
};

/** Creates the default limits of the settings, with the given ones replaced. */
export const createLimits = (
  own: Partial<configuration.InstanceLimits> = {},
): configuration.InstanceLimits => ({
  maxBodyBytes: configuration.DEFAULT_MAX_BODY_BYTES,
  maxHeaderBytes: configuration.DEFAULT_MAX_HEADER_BYTES,
  headerTimeoutMs: configuration.DEFAULT_HEADER_TIMEOUT_MS,
  requestTimeoutMs: configuration.DEFAULT_REQUEST_TIMEOUT_MS,
  stopGraceMs: configuration.DEFAULT_REQUEST_TIMEOUT_MS,
  addressMaxAgeMs: configuration.DEFAULT_ADDRESS_MAX_AGE_MS,
  maxInFlight: configuration.DEFAULT_MAX_IN_FLIGHT,
  maxPendingBills: configuration.DEFAULT_MAX_PENDING_BILLS,
  maxPendingClaims: configuration.DEFAULT_MAX_PENDING_CLAIMS,
  maxTimelineEvents: configuration.DEFAULT_MAX_TIMELINE_EVENTS,
  ...own,
});

/**
 * Finds a free port on loopback. An instance must know its address before it
 * starts, so it can't listen on port 0.
 */
export const findFreePort = (): Promise<number> =>
  new Promise(resolve => {
    const probe = net.createServer();
    probe.listen(0, '127.0.0.1', () => {
      const address = probe.address() as net.AddressInfo;
      probe.close(() => resolve(address.port));
    });
  });

const createSecret = (): string => crypto.randomBytes(32).toString('hex');

const sha256 = (text: string): string =>
  crypto.createHash('sha256').update(text).digest('hex');

/** Longest wait after the start for a confirmed configuration, in ms. */
const READY_WAIT_MS = 10_000;

/** Waits until all instances may take work, at most `READY_WAIT_MS`. */
const waitUntilReady = async (
  instances: readonly entryInstance.EntryInstance[],
): Promise<void> => {
  const clock = ports.systemClock;
  const deadline = clock.now() + READY_WAIT_MS;
  const isReady = () =>
    instances.every(instance => instance.resolve('follower').mayTakeWork());
  while (!isReady() && clock.now() < deadline) {
    await clock.sleep(10);
  }
};

/** Starts the fakes, publishes the document and starts the entry instances. */
export const startEmbedded = async (
  options: EmbeddedOptions,
): Promise<EmbeddedDeployment> => {
  const running = await fakes.startFakeDeployment({
    clock: ports.systemClock,
    instances: options.upstreams,
    freePorts: true,
    ...(options.tokenMs === undefined ? {} : {tokenMs: options.tokenMs}),
  });
  const {environment, document, zones} = options;
  const {store, url} = {
    store: running.platform.store,
    url: running.platform.url,
  };
  await membership.publishDocument(store, environment, document);
  const freePorts = await Promise.all(zones.map(findFreePort));
  const secrets = {innerKey: createSecret(), sessionKey: createSecret()};
  const operatorKey = createSecret();
  const addresses = freePorts.map(port => `127.0.0.1:${port}`);
  const instances = zones.map((zone, i) => {
    const id = `entry-${i + 1}`;
    const address = addresses[i] ?? '';
    running.platform.register({
      id,
      role: 'entry',
      state: 'live',
      address,
      zone,
      serves: [],
    });
    const text = {kind: 'text', text: ''} as const;
    return new entryInstance.EntryInstance({
      settings: {
        instance: {
          id,
          zone,
          region: 'local',
          environment,
          listen: {host: '127.0.0.1', port: freePorts[i] ?? 0},
        },
        platform: {objectApi: url, instanceList: url, rating: url},
        keys: {
          operatorDigest: sha256(operatorKey),
          innerKey: text,
          sessionKey: text,
        },
        limits: createLimits({...SHORT_LIMITS, ...options.limits}),
        log: {level: 'error'},
      },
      secrets,
      clock: ports.systemClock,
      advertise: address,
      ...(options.warmUpTiming ? {warmUpTiming: options.warmUpTiming} : {}),
      ...(options.createRandom ? {random: options.createRandom(i)} : {}),
    });
  });
  await Promise.all(instances.map(instance => instance.start()));
  await waitUntilReady(instances);
  return {
    fakes: running,
    instances,
    addresses,
    operatorKey,
    stop: async () => {
      await Promise.all(instances.map(instance => instance.stop()));
      await running.stop();
    },
  };
};
