/**
 * Wires the components of an entry instance; no other module does. Each is
 * registered with a factory and created once, when it is first resolved.
 */
import 'reflect-metadata';
import * as crypto from 'node:crypto';
import * as tsyringe from 'tsyringe';
import * as decisions from '@amaranthknot/decisions';
import * as entry from '@amaranthknot/entry';
import * as ledger from '@amaranthknot/ledger';
import * as membership from '@amaranthknot/membership';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as telemetry from '@amaranthknot/telemetry';
import * as upstreams from '@amaranthknot/upstreams';
import type * as instanceOptions from './instance-options.js';
import type * as instanceComponents from './instance-components.js';
import * as billCopyWiring from './bill-copy-wiring.js';
import * as instanceState from './instance-state.js';
import * as peerServer from './peer-server.js';
import * as rolloutWiring from './rollout-wiring.js';
import * as serviceCheck from './service-check.js';
import * as upstreamWiring from './upstream-wiring.js';

type Factories = {
  readonly [K in keyof instanceComponents.InstanceComponents]: (
    get: instanceComponents.InstanceResolver,
  ) => instanceComponents.InstanceComponents[K];
};

/** Timeout of a message to the owner of a claim, in milliseconds. */
const CLAIM_OWNER_TIMEOUT_MS = 500;

const random = (): number => Math.random();

const createHttpClient = (url: string, key: string | undefined) =>
  new ports.HttpClient({url, ...(key === undefined ? {} : {key})});

const createPeers = (
  get: instanceComponents.InstanceResolver,
): membership.PeerTable => {
  const {settings, clock} = get('options');
  const {id, zone} = settings.instance;
  return new membership.PeerTable({
    id,
    zone,
    address: get('options').advertise,
    state: 'live',
    incarnation: Math.floor(clock.wallTime()),
  });
};

const createFollower = (
  get: instanceComponents.InstanceResolver,
): membership.ConfigurationFollower => {
  const {settings, clock} = get('options');
  return new membership.ConfigurationFollower({
    environment: settings.instance.environment,
    store: get('store'),
    instances: get('instanceList'),
    transport: get('transport').send,
    peers: get('peers'),
    clock,
    random,
    onChange: changed => {
      get('zoneRamp').apply(changed.document.zones);
      get('events').record('configuration_in_force', {
        detail: `generation ${changed.generation}`,
      });
    },
  });
};

const findOwner = (
  get: instanceComponents.InstanceResolver,
  incarnation: string,
) =>
  get('peers')
    .all()
    .find(peer => incarnation.startsWith(`${peer.id}.`));

const createClaims = (
  get: instanceComponents.InstanceResolver,
): ledger.ClaimLedger =>
  new ledger.ClaimLedger({
    limits: {
      maxInProgress: get('options').settings.limits.maxPendingClaims,
    },
    store: get('store'),
    clock: get('options').clock,
    random,
    newToken: () => crypto.randomUUID(),
    incarnation: get('incarnation'),
    queryOwner: async (incarnation, owner) => {
      const peer = findOwner(get, incarnation);
      if (!peer) {
        return 'no_answer';
      }
      const answer = await protocol.callPeer(
        get('transport').send,
        peer.address,
        'describe_claim',
        {incarnation, owner},
        CLAIM_OWNER_TIMEOUT_MS,
      );
      return answer.map(({state}) => state).orDefault('no_answer');
    },
  });

const createBills = (
  get: instanceComponents.InstanceResolver,
): ledger.BillLedger =>
  new ledger.BillLedger({
    store: get('store'),
    clock: get('options').clock,
    random,
    incarnation: get('incarnation'),
    copyToPeers: batch => get('billReplicator').replicate(batch),
    limits: {
      maxPending: get('options').settings.limits.maxPendingBills,
      copyQuorum: billCopyWiring.BILL_COPY_QUORUM,
    },
  });

const createServer = (
  get: instanceComponents.InstanceResolver,
): entry.EntryServer => {
  const {settings, secrets, clock} = get('options');
  const follower = get('follower');
  return new entry.EntryServer({
    instanceId: settings.instance.id,
    listen: settings.instance.listen,
    zone: settings.instance.zone,
    limits: settings.limits,
    clock,
    random: get('options').random ?? random,
    newId: () => crypto.randomUUID(),
    sessionKey: crypto.createSecretKey(secrets.sessionKey, 'utf8'),
    operatorDigest: settings.keys.operatorDigest,
    innerKey: secrets.innerKey,
    activeConfiguration: () =>
      follower.mayTakeWork() ? follower.activeConfiguration() : undefined,
    listAddresses: zone => instanceState.listAddresses(get, zone),
    admission: get('admission'),
    cascades: get('cascades'),
    assignVersion: (model, sessionKey) =>
      rolloutWiring.assignVersion(get, model, sessionKey),
    pinVersion: (workspace, sessionId, model, version) =>
      get('pins').pin(workspace, sessionId, model, version),
    placeStage: (run, tried) =>
      get('directory').place({
        target: `${run.model}@${run.version}`,
        affinityKey: run.call.affinityKey,
        tried,
      }),
    placeService: target => get('directory').place({target}),
    findRetryAfterMs: target => {
      const waitMs = get('directory').findWaitMs(target);
      return waitMs === undefined
        ? undefined
        : decisions.drawRetryAfterMs(waitMs, get('options').random ?? random);
    },
    openEngine: upstreams.createEngineClient(),
    callService: upstreams.createServiceClient(
      serviceCheck.createCheckService(get('options').clock),
    ),
    recordAttempt: model => get('retryBudget').recordAttempt(model),
    mayRetry: model => get('retryBudget').tryRetry(model),
    claims: get('claims'),
    bills: get('bills'),
    events: get('events'),
    metrics: get('metrics'),
    logger: get('logger'),
    handlePeer: text => get('peerServer').handle(text),
    describeState: () => instanceState.describeState(get),
    offerForRating: delivered => rolloutWiring.offerForRating(get, delivered),
    recordColdRefusal: upstream => get('warmUpLimiter').recordRefusal(upstream),
    recordObservation: (model, version, observation) =>
      rolloutWiring.recordObservation(get, model, version, observation),
  });
};

const createTaskRunner = (
  get: instanceComponents.InstanceResolver,
): membership.LeasedTaskRunner =>
  new membership.LeasedTaskRunner({
    store: get('store'),
    clock: get('options').clock,
    random,
    peers: get('peers'),
    createToken: () => crypto.randomUUID(),
  });

const createRatingSampler = (
  get: instanceComponents.InstanceResolver,
): entry.RatingSampler | undefined => {
  const {settings, secrets} = get('options');
  const {rating} = settings.platform;
  if (rating === undefined) {
    return undefined;
  }
  return new entry.RatingSampler({
    service: new ports.HttpRatingService(
      createHttpClient(rating, secrets.platformKey),
    ),
    source: get('incarnation'),
    random,
    onRating: (answer, value) => rolloutWiring.applyRating(get, answer, value),
  });
};

const createEvents = (
  get: instanceComponents.InstanceResolver,
): telemetry.EventRing => {
  const {settings, clock} = get('options');
  return new telemetry.EventRing(
    settings.instance.id,
    new telemetry.HybridClock(() => clock.wallTime()),
    settings.limits.maxTimelineEvents,
  );
};

const createFactories = (
  options: instanceOptions.InstanceOptions,
): Factories => ({
  options: () => options,
  incarnation: get =>
    billCopyWiring.formatIncarnation(
      options.settings.instance.id,
      get('peers').self().incarnation,
    ),
  store: () =>
    new ports.HttpObjectStore(
      createHttpClient(
        options.settings.platform.objectApi,
        options.secrets.platformKey,
      ),
    ),
  instanceList: () =>
    new ports.HttpInstanceList(
      createHttpClient(
        options.settings.platform.instanceList,
        options.secrets.platformKey,
      ),
    ),
  transport: () =>
    protocol.createHttpTransport({innerKey: options.secrets.innerKey}),
  peers: createPeers,
  follower: createFollower,
  events: createEvents,
  metrics: () => new telemetry.Metrics(),
  logger: () =>
    telemetry.createLogger(
      options.settings.instance.id,
      options.settings.log.level,
    ),
  placement: () =>
    new decisions.Placement({
      instanceId: options.settings.instance.id,
      zone: options.settings.instance.zone,
      random,
    }),
  directory: upstreamWiring.createDirectory,
  warmUpLimiter: upstreamWiring.createWarmUpLimiter,
  zoneRamp: () => new entry.ZoneRamp(() => options.clock.now()),
  admission: () =>
    new entry.AdmissionController(
      new decisions.AdmissionQueue({
        capacity: options.settings.limits.maxInFlight,
        random,
      }),
      options.clock,
    ),
  claims: createClaims,
  bills: createBills,
  billReplicator: billCopyWiring.createBillReplicator,
  copyStore: () => new ledger.CopyStore({clock: options.clock}),
  pins: get => new entry.PinRegistry(get('store')),
  // A model starts with a full bucket: at a few requests an hour, a tenth of
  // the requests allows no retry, and these requests must survive a failing
  // upstream too. With 1,000 instances that adds at most 10,000 retries once,
  // less than a second of the peak load.
  retryBudget: () =>
    new decisions.RetryBudget({initial: decisions.DEFAULT_RETRY_BURST}),
  cascades: () => new decisions.CascadePolicy(),
  leasedTaskRunner: createTaskRunner,
  rolloutCounters: () => new entry.RolloutCounters(),
  rolloutShares: get => new entry.RolloutShares(get('store'), options.clock),
  ratingSampler: createRatingSampler,
  peerServer: peerServer.createPeerServer,
  server: createServer,
});

/** Registers the factories of all components, and returns the resolver. */
export const wireInstance = (
  options: instanceOptions.InstanceOptions,
): instanceComponents.InstanceResolver => {
  const container = tsyringe.container.createChildContainer();
  const get: instanceComponents.InstanceResolver = token =>
    container.resolve(token);
  const register = <K extends keyof instanceComponents.InstanceComponents>(
    token: K,
    factory: Factories[K],
  ): void => {
    container.register(token, {
      useFactory: tsyringe.instanceCachingFactory(() => factory(get)),
    });
  };
  const factories = createFactories(options);
  for (const token of Object.keys(
    factories,
  ) as (keyof instanceComponents.InstanceComponents)[]) {
    register(token, factories[token]);
  }
  return get;
};
