/**
 * The one module that wires the parts of an entry instance. instanceTokens.Parts are
 * registered by factory; each is made once, when first asked for.
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
import type * as instanceTokens from './instance-tokens.js';
import * as billCopyParts from './bill-copy-parts.js';
import * as instanceViews from './instance-views.js';
import * as peerServerParts from './peer-server-parts.js';
import * as rolloutParts from './rollout-parts.js';
import * as upstreamParts from './upstream-parts.js';

type Factories = {
  readonly [K in keyof instanceTokens.Parts]: (
    get: instanceTokens.Resolve,
  ) => instanceTokens.Parts[K];
};

/** Longest time to ask a claim's owner, in milliseconds. */
const ASK_OWNER_MS = 500;

const random = (): number => Math.random();

const createHttp = (url: string, key: string | undefined) =>
  new ports.HttpClient({url, ...(key === undefined ? {} : {key})});

const createPeers = (get: instanceTokens.Resolve): membership.PeerTable => {
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
  get: instanceTokens.Resolve,
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
    onChange: taken => {
      get('zoneRamp').apply(taken.document.zones);
      get('events').record('configuration_in_force', {
        detail: `generation ${taken.generation}`,
      });
    },
  });
};

const findOwner = (get: instanceTokens.Resolve, incarnation: string) =>
  get('peers')
    .all()
    .find(peer => incarnation.startsWith(`${peer.id}.`));

const createClaims = (get: instanceTokens.Resolve): ledger.ClaimKeeper =>
  new ledger.ClaimKeeper({
    limits: {
      maxInProgress: get('options').settings.limits.maxPendingClaims,
    },
    store: get('store'),
    clock: get('options').clock,
    random,
    newToken: () => crypto.randomUUID(),
    incarnation: get('incarnation'),
    askOwner: async (incarnation, owner) => {
      const peer = findOwner(get, incarnation);
      if (!peer) {
        return 'no_answer';
      }
      const answer = await protocol.callPeer(
        get('transport').send,
        peer.address,
        'describe_claim',
        {incarnation, owner},
        ASK_OWNER_MS,
      );
      return answer.map(({state}) => state).orDefault('no_answer');
    },
  });

const createBills = (get: instanceTokens.Resolve): ledger.BillKeeper =>
  new ledger.BillKeeper({
    store: get('store'),
    clock: get('options').clock,
    random,
    incarnation: get('incarnation'),
    copyToPeers: batch => get('peerCopies').copy(batch),
    limits: {
      maxPending: get('options').settings.limits.maxPendingBills,
      copyQuorum: billCopyParts.BILL_COPIES,
    },
  });

const createServer = (get: instanceTokens.Resolve): entry.EntryServer => {
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
    inForce: () =>
      follower.mayTakeWork() ? follower.activeConfiguration() : undefined,
    offerAddresses: zone => instanceViews.offerAddresses(get, zone),
    admission: get('admission'),
    cascades: get('cascades'),
    assignVersion: (model, sessionKey) =>
      rolloutParts.assignVersion(get, model, sessionKey),
    pinVersion: (workspace, sessionId, model, version) =>
      get('pins').pin(workspace, sessionId, model, version),
    placeStage: (run, tried) =>
      get('directory').place({
        target: `${run.model}@${run.version}`,
        affinityKey: run.call.affinityKey,
        tried,
      }),
    placeService: target => get('directory').place({target}),
    openEngine: upstreams.createEngineClient(),
    callService: upstreams.createServiceClient(),
    noteAttempt: model => get('retries').recordAttempt(model),
    mayRetry: model => get('retries').tryRetry(model),
    claims: get('claims'),
    bills: get('bills'),
    events: get('events'),
    metrics: get('metrics'),
    logger: get('logger'),
    handlePeer: text => get('peerServer').handle(text),
    describeState: () => instanceViews.describeState(get),
    offerForRating: given => rolloutParts.offerForRating(get, given),
    noteCold: upstream => get('warmUp').noteRefusal(upstream),
    countVersion: (model, version, sign) =>
      rolloutParts.countVersion(get, model, version, sign),
  });
};

const createDuties = (
  get: instanceTokens.Resolve,
): membership.LeasedTaskRunner =>
  new membership.LeasedTaskRunner({
    store: get('store'),
    clock: get('options').clock,
    random,
    peers: get('peers'),
    createToken: () => crypto.randomUUID(),
  });

const createRatingDesk = (
  get: instanceTokens.Resolve,
): entry.RatingDesk | undefined => {
  const {settings, secrets} = get('options');
  const {rating} = settings.platform;
  if (rating === undefined) {
    return undefined;
  }
  return new entry.RatingDesk({
    service: new ports.HttpRatingService(
      createHttp(rating, secrets.platformKey),
    ),
    source: get('incarnation'),
    random,
    onRating: (answer, value) => rolloutParts.takeRating(get, answer, value),
  });
};

const createEvents = (get: instanceTokens.Resolve): telemetry.EventRing => {
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
    billCopyParts.nameIncarnation(
      options.settings.instance.id,
      get('peers').self().incarnation,
    ),
  store: () =>
    new ports.HttpObjectStore(
      createHttp(
        options.settings.platform.objectApi,
        options.secrets.platformKey,
      ),
    ),
  instanceList: () =>
    new ports.HttpInstanceList(
      createHttp(
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
  directory: upstreamParts.createDirectory,
  warmUp: upstreamParts.createWarmUp,
  zoneRamp: () => new entry.ZoneRamp(() => options.clock.now()),
  admission: () =>
    new entry.AdmissionGate(
      new decisions.AdmissionQueue({
        capacity: options.settings.limits.maxInFlight,
        random,
      }),
      options.clock,
    ),
  claims: createClaims,
  bills: createBills,
  peerCopies: billCopyParts.createPeerCopies,
  copyHolder: () => new ledger.CopyHolder({clock: options.clock}),
  pins: get => new entry.PinRegistry(get('store')),
  // A few requests an hour must survive a failing upstream too: at a low rate
  // a tenth earns nothing, so a model starts with a full bucket. At 1,000
  // instances that is at most 10,000 retries once, under a second of the peak.
  retries: () =>
    new decisions.RetryBudget({initial: decisions.DEFAULT_RETRY_BURST}),
  cascades: () => new decisions.CascadePolicy(),
  duties: createDuties,
  rolloutCounters: () => new entry.RolloutCounters(),
  rolloutShares: get => new entry.RolloutShares(get('store'), options.clock),
  ratingDesk: createRatingDesk,
  peerServer: peerServerParts.createPeerServer,
  server: createServer,
});

/** Registers all parts; returns how to get one. */
export const wireParts = (
  options: instanceOptions.InstanceOptions,
): instanceTokens.Resolve => {
  const container = tsyringe.container.createChildContainer();
  const get: instanceTokens.Resolve = token => container.resolve(token);
  const register = <K extends keyof instanceTokens.Parts>(
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
  ) as (keyof instanceTokens.Parts)[]) {
    register(token, factories[token]);
  }
  return get;
};
