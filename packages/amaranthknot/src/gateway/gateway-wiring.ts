/**
 * The one module that wires the parts of a gateway instance. Parts are
 * registered by factory; each is made once, when first asked for.
 */
import 'reflect-metadata';
import * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import * as fleet from '@amaranthknot/fleet';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as telemetry from '@amaranthknot/telemetry';
import * as tsyringe from 'tsyringe';
import * as fleetReport from './fleet-report.js';
import * as fleetWatch from './fleet-watch.js';
import * as gatewayState from './gateway-state.js';
import type * as gatewayTokens from './gateway-tokens.js';
import * as peerMessages from './peer-messages.js';
import * as storeWatching from './store-watching.js';
import * as upstreamChanges from './upstream-changes.js';

type Factories = {
  readonly [K in keyof gatewayTokens.GatewayWiring]: (
    get: gatewayTokens.ResolveGateway,
  ) => gatewayTokens.GatewayWiring[K];
};

const DIALECT: gateway.Dialect = {
  headers: platform.HEADER_NAMES,
  instanceOnlyHeaders: platform.INSTANCE_ONLY_HEADERS,
};

/** Longest wait for an answer of the store, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000;

/**
 * How long a request is held while an instance that has just started does not
 * know the configuration yet, in milliseconds. Reading it takes some 30 ms; a
 * refusal would cost the caller its one retry.
 */
const HOLD_AT_START_MS = 400;

/**
 * Part of the retry budget that instances use: what they count apart may fall
 * into one window.
 */
const RETRY_PART = 0.95;

const createViews = (): gatewayState.Views => {
  const view = (kind: gatewayState.FollowedKind): fleet.KindView =>
    new fleet.KindView(platform.STORE_KINDS[kind]);
  return {
    configuration: view('configuration'),
    upstreams: view('upstreams'),
    rollouts: view('rollouts'),
    evacuations: view('evacuations'),
  };
};

const createFollower = (
  get: gatewayTokens.ResolveGateway,
  kind: gatewayState.FollowedKind,
): fleet.KindFollower => {
  const {clock, random} = get('options');
  const view = get('views')[kind];
  return new fleet.KindFollower({
    view,
    store: get('store'),
    clock,
    random,
    findWaitMs: ageMs =>
      decisions.findWatchMs(get('watching').boundMs(view.kind), ageMs),
    pauseAfterChangesMs: decisions.findChangePauseMs(
      get('watching').boundMs(view.kind),
    ),
    findNeed: () => get('watching').findNeed(view),
    onUpdate: get('takeView'),
    onAsk: asked => {
      get('log').belief('store_asked', {
        kind: asked.kind,
        ageMs: Math.round(clock.now() - asked.confirmedAtMs),
      });
    },
    onCall: (called, error) => {
      get('metrics').noteStoreCall(called, error?.code ?? 'done');
      get('state').noteStoreCall(error);
      get('watching').noteStoreCall(error);
    },
  });
};

const createState = (
  get: gatewayTokens.ResolveGateway,
): gatewayState.GatewayState =>
  new gatewayState.GatewayState({
    now: () => get('options').clock.now(),
    views: get('views'),
    catalog: get('catalog'),
    rollouts: get('rollouts'),
    log: get('log'),
    onTable: table => {
      get('callerServer').applyLimits(table.limits);
    },
  });

/** Forgets all that was known of upstreams that are gone. */
const forgetGone = (
  get: gatewayTokens.ResolveGateway,
  changes: readonly gateway.CatalogChange[],
): void => {
  if (!changes.some(({kind}) => kind === 'gone')) {
    return;
  }
  const known = get('catalog').all();
  const ids = new Set(known.map(({upstream}) => upstream.id));
  get('pool').keepOnly(ids);
  get('picker').keepOnly(ids);
  get('limits').keepOnly(ids);
};

const createMembers = (
  get: gatewayTokens.ResolveGateway,
): fleet.MemberTable => {
  const {settings, clock} = get('options');
  const {listen, instance, limits} = settings.current;
  return new fleet.MemberTable({
    id: instance.id,
    zone: instance.zone,
    callers: configuration.formatAddress(listen.callers),
    peers: configuration.formatAddress(listen.peers),
    start: Math.floor(clock.wallTime()),
    revision: 0,
    phase: 'starting',
    store: 'reached',
    cores: limits.cores,
  });
};

const nameIncarnation = (get: gatewayTokens.ResolveGateway): string => {
  const {id, start} = get('members').self;
  return `${id}.${start}`;
};

const createExchange = (
  get: gatewayTokens.ResolveGateway,
): fleet.ReportExchange => {
  const {clock, random, settings} = get('options');
  return new fleet.ReportExchange({
    clock,
    random,
    transport: get('transport').send,
    members: get('members'),
    seeds: () => settings.current.seeds.map(configuration.formatAddress),
    isTold: () =>
      get('members').isTold(clock.now()) && !get('watching').isWatcher(),
    findWatchers: () => get('watching').findWatchers(),
    createReport: address => get('reports').create(address),
    onFailure: (peer, error) => {
      get('fleetWatch').noteFailure(peer, error);
    },
    onAnswer: (address, report, askedAtMs) => {
      get('relay').take(address, report.views, askedAtMs);
      get('reports').take(report);
    },
  });
};

const createSubscription = (
  get: gatewayTokens.ResolveGateway,
): fleet.ViewSubscription =>
  new fleet.ViewSubscription({
    clock: get('options').clock,
    transport: get('transport').send,
    views: Object.values(get('views')),
    findSources: () => get('watching').findSources(),
    freshMs: kind => get('watching').freshMs(kind),
    onUpdate: get('takeView'),
    isWatcher: () => get('watching').isWatcher(),
    onFailure: (peer, error) => {
      get('fleetWatch').noteFailure(peer, error);
    },
    createReport: source => get('reports').createForWatcher(source),
    onSummary: (source, summary) => {
      get('reports').takeSummary(source, summary);
    },
    onSource: source => {
      get('log').belief('watch_source_changed', {source});
    },
  });

const createRollouts = (
  get: gatewayTokens.ResolveGateway,
): gateway.RolloutTracker => {
  const {clock, settings} = get('options');
  return new gateway.RolloutTracker({
    clock,
    incarnation: nameIncarnation(get),
    sessionMs: settings.current.bounds.sessionMs,
    limit: settings.current.bounds.exposure,
    report: async (order, state) => {
      const written = await get('store').updateStatus(
        platform.STORE_KINDS.rollouts,
        order.service,
        platform.encodeRolloutStatus(state, order.version),
        order.revision,
      );
      return written.isRight();
    },
    rank: () => {
      const self = get('members').self.id;
      const serving = get('members').serving(clock.now());
      return serving.filter(({id}) => id < self).length;
    },
    log: get('log'),
  });
};

const createPlacement = (
  get: gatewayTokens.ResolveGateway,
): gateway.UpstreamPlacement => {
  const {settings, clock} = get('options');
  const startedAtMs = clock.now();
  return new gateway.UpstreamPlacement({
    catalog: get('catalog'),
    picker: get('picker'),
    repeats: get('repeats'),
    limits: get('limits'),
    rollouts: get('rollouts'),
    now: () => clock.now(),
    upstreamsAgeMs: () => get('state').upstreamsAgeMs(),
    isZoneOut: zone => get('state').isZoneOut(zone),
    regionOf: zone => settings.current.zones.get(zone),
    coldShare: (upstream, service) =>
      decisions.findColdShare(
        {perSecond: service.coldPerSecond, ...settings.current.bounds.cold},
        upstream.id,
        settings.current.instance.id,
        get('members').namesForShares(clock.now()),
        clock.now() - startedAtMs,
      ),
  });
};

const createGateway = (get: gatewayTokens.ResolveGateway): gateway.Gateway => {
  const {clock, random, settings} = get('options');
  const {change} = settings.current.bounds;
  return new gateway.Gateway({
    clock,
    random,
    log: get('log'),
    latencies: get('latencies'),
    capable: get('capable'),
    probe: gateway.createProbe(clock),
    whenKnowing: () =>
      Promise.race([get('state').whenKnowing(), clock.sleep(HOLD_AT_START_MS)]),
    dialect: DIALECT,
    place: toPlace => get('placement').place(toPlace),
    openCall: gateway.createOpenCall(
      get('pool'),
      DIALECT.headers,
      (upstream, perSecond) => {
        get('limits').note(upstream, perSecond);
      },
    ),
    refreshTable: () => get('refresh').run(),
    inForce: () => get('state').inForce(),
    onEnd: sample => {
      get('metrics').noteRequest(sample);
    },
    tableAges: {
      forKeys: gatewayState.KEY_AGE_SHARE * change.revocationMs,
      forDenials: gatewayState.DENIAL_AGE_SHARE * change.configurationMs,
    },
  });
};

const createStore = (
  options: gatewayTokens.GatewayOptions,
): ports.StatusStore => {
  const address = configuration.formatAddress(
    options.settings.current.store.address,
  );
  const client = new ports.HttpClient({
    url: `http://${address}`,
    timeoutMs: STORE_TIMEOUT_MS,
  });
  return new platform.StoreClient((...call) => client.send(...call));
};

const createFactories = (options: gatewayTokens.GatewayOptions): Factories => ({
  options: () => options,
  log: get =>
    new telemetry.DecisionLog({
      instance: options.settings.current.instance.id,
      level: options.settings.current.log.level,
      now: () => options.clock.now(),
      onEvent: (event, reason) => {
        get('metrics').noteEvent(event, reason);
      },
    }),
  metrics: get =>
    new telemetry.GatewayMetrics(() => ({
      inProgress: get('gateway').inProgress,
      configurationAgeMs: get('state').inForce()?.ageMs,
      upstreams: get('catalog').all().length,
      upstreamsAgeMs: get('state').upstreamsAgeMs(),
      servingInstances: get('members').serving(options.clock.now()).length,
    })),
  latencies: () => new decisions.LatencyBook(),
  capable: get =>
    new gateway.CapableModels({
      now: () => options.clock.now(),
      catalog: get('catalog'),
      picker: get('picker'),
      repeats: get('repeats'),
      isZoneOut: zone => get('state').isZoneOut(zone),
    }),
  store: () => options.store ?? createStore(options),
  views: createViews,
  state: createState,
  followers: get => ({
    configuration: createFollower(get, 'configuration'),
    upstreams: createFollower(get, 'upstreams'),
    rollouts: createFollower(get, 'rollouts'),
    evacuations: createFollower(get, 'evacuations'),
  }),
  transport: () => options.transport ?? protocol.createHttpTransport({}),
  members: createMembers,
  refresh: get =>
    new fleet.ViewRefresh({
      view: get('views').configuration,
      store: get('store'),
      clock: options.clock,
      onUpdate: get('takeView'),
    }),
  relay: get =>
    new fleet.ViewRelay({
      clock: options.clock,
      transport: get('transport').send,
      views: Object.values(get('views')),
      onUpdate: get('takeView'),
      freshMs: kind => get('watching').freshMs(kind),
    }),
  takeView: get => view => {
    get('state').take(view);
    get('relay').noteUpdate();
  },
  watching: get =>
    new storeWatching.StoreWatching({
      now: () => options.clock.now(),
      members: get('members'),
      views: get('views'),
      bounds: options.settings.current.bounds,
      hasSeeds: options.settings.current.seeds.length > 0,
    }),
  fleetWatch: get =>
    new fleetWatch.FleetWatch({
      now: () => options.clock.now(),
      members: get('members'),
      watching: get('watching'),
      log: get('log'),
    }),
  subscription: createSubscription,
  reports: get => new fleetReport.FleetReports(get),
  exchange: createExchange,
  peerServer: get =>
    peerMessages.createPeerServer({
      relay: get('relay'),
      reports: get('reports'),
    }),
  catalog: get =>
    new gateway.UpstreamCatalog({
      onChanges: changes => {
        forgetGone(get, changes);
        get('log').belief(
          'upstreams_changed',
          upstreamChanges.describeChanges(changes, {
            ageMs: get('state').upstreamsAgeMs(),
            revision: get('views').upstreams.version,
          }),
        );
      },
      decode: platform.decodeUpstream,
      lapseGraceMs: gatewayState.LAPSE_GRACE_MS,
    }),
  picker: get =>
    new decisions.UpstreamPicker({
      onRest: (upstream, restMs, signs) => {
        const forMs = Math.round(restMs);
        get('log').trouble('upstream_rested', {upstream, forMs, ...signs});
      },
      zone: options.settings.current.instance.zone,
      now: () => options.clock.now(),
      random: options.random,
    }),
  repeats: () => {
    const {ratio, windowMs} = options.settings.current.bounds.retry;
    return new decisions.RepeatBudget({
      ratio: RETRY_PART * ratio,
      windowMs,
      now: () => options.clock.now(),
    });
  },
  limits: get =>
    new decisions.RateLimits({
      now: () => options.clock.now(),
      self: options.settings.current.instance.id,
      findInstances: () =>
        get('members')
          .report(options.clock.now())
          .map(({id}) => id),
      onChange: (upstream, perSecond) => {
        get('log').belief('upstream_limited', {upstream, perSecond});
      },
    }),
  rollouts: createRollouts,
  pool: () => new gateway.ConnectionPool(),
  placement: createPlacement,
  gateway: createGateway,
  callerServer: get =>
    new gateway.CallerServer(
      options.settings.current.listen.callers,
      (...exchange) => get('gateway').handle(...exchange),
    ),
});

/** Registers all parts; returns how to get one. */
export const wireGateway = (
  options: gatewayTokens.GatewayOptions,
): gatewayTokens.ResolveGateway => {
  const container = tsyringe.container.createChildContainer();
  // Parts are asked for on each message; the container takes far longer.
  const parts: Partial<Record<keyof gatewayTokens.GatewayWiring, unknown>> = {};
  const get = <K extends keyof gatewayTokens.GatewayWiring>(
    token: K,
  ): gatewayTokens.GatewayWiring[K] => {
    parts[token] ??= container.resolve(token);
    return parts[token] as gatewayTokens.GatewayWiring[K];
  };
  const register = <K extends keyof gatewayTokens.GatewayWiring>(
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
  ) as (keyof gatewayTokens.GatewayWiring)[]) {
    register(token, factories[token]);
  }
  return get;
};

/** This instance's part of the repeats on top of the ratio. */
export const updateRepeatSlack = (get: gatewayTokens.ResolveGateway): void => {
  const {settings, clock} = get('options');
  const count = get('members').namesForShares(clock.now()).length;
  const {slack} = settings.current.bounds.retry;
  get('repeats').setSlack(Math.max(1, (RETRY_PART * slack) / count));
};
