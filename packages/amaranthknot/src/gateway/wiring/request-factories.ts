/** Factories of the components that serve callers' requests. */
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import type * as routing from '@amaranthknot/routing';
import * as gatewayState from '../gateway-state.js';
import type * as gatewayComponents from '../gateway-components.js';
import * as logInternalError from '../log-internal-error.js';
import * as pushNews from '../push-news.js';
import * as coldFactories from './cold-factories.js';
import * as repeatSlack from '../repeat-slack.js';
import * as upstreamChanges from '../upstream-changes.js';

/** Tokens of the components that are created here. */
export type RequestComponent =
  | 'latencies'
  | 'escalationPolicy'
  | 'catalog'
  | 'picker'
  | 'fleetSends'
  | 'repeatBudget'
  | 'limits'
  | 'backoffs'
  | 'leavingNotices'
  | 'concurrencyShares'
  | 'availability'
  | 'rollouts'
  | 'pool'
  | 'placement'
  | 'memory'
  | 'gateway'
  | 'callerServer';

const HEADER_CONVENTIONS: gateway.HeaderConventions = {
  headers: platform.HEADER_NAMES,
  instanceOnlyHeaders: platform.INSTANCE_ONLY_HEADERS,
};

/**
 * How long a request waits in an instance that has just started for the first
 * configuration, in milliseconds. Reading it takes about 30 ms, and a refusal
 * would cost the caller its only retry.
 */
const HOLD_AT_START_MS = 400;

/** Drops what is kept of upstreams that are gone, and notices that are over. */
const dropGoneUpstreams = (
  get: gatewayComponents.GatewayResolver,
  changes: readonly gateway.CatalogChange[],
): void => {
  if (!changes.some(({kind}) => kind === 'gone')) {
    return;
  }
  const known = get('catalog').all();
  const ids = new Set(known.map(({upstream}) => upstream.id));
  get('pool').retain(ids);
  get('picker').retain(ids);
  get('limits').retain(ids);
  get('backoffs').removeEnded();
  get('upstreamLinks').retain(ids);
  get('leavingNotices').retain(ids);
  get('concurrencyShares').retain(ids);
  get('coldStarts').retain(ids);
  get('absenceSigns').retain(ids);
};

const formatIncarnation = (get: gatewayComponents.GatewayResolver): string => {
  const {id, start} = get('members').self;
  return `${id}.${start}`;
};

const createRollouts = (
  get: gatewayComponents.GatewayResolver,
): gateway.RolloutTracker => {
  const {clock, settings} = get('options');
  return new gateway.RolloutTracker({
    clock,
    incarnation: formatIncarnation(get),
    sessionMs: settings.current.bounds.sessionMs,
    limit: settings.current.bounds.exposure,
    report: async (rollout, state) => {
      const written = await get('store').updateStatus(
        platform.STORE_KINDS.rollouts,
        rollout.service,
        platform.encodeRolloutStatus(state, rollout.version),
        rollout.revision,
      );
      return written.isRight();
    },
    reportRank: () => {
      const self = get('members').self.id;
      const serving = get('members').serving(clock.now());
      return serving.filter(({id}) => id < self).length;
    },
    log: get('log'),
    onBad: pushNews.createPushNews(get, 'share_rollouts', () => ({
      rollouts: [...get('rollouts').badVersions()],
    })),
  });
};

/**
 * The instances that send requests of a service to its upstreams; undefined
 * while this one may not know all.
 */
const findSenders = (
  get: gatewayComponents.GatewayResolver,
  service: string,
): readonly string[] | undefined => {
  const members = get('members');
  const now = get('options').clock.now();
  const without = members
    .live(now)
    .filter(({lostServices}) => lostServices?.includes(service))
    .map(({id}) => id);
  return get('knownFleet').sharers?.filter(id => !without.includes(id));
};

const createConcurrencyShares = (
  get: gatewayComponents.GatewayResolver,
): decisions.ConcurrencyShares => {
  const {clock, settings} = get('options');
  return new decisions.ConcurrencyShares({
    now: () => clock.steadyNow(),
    self: settings.current.instance.id,
    findInstances: service => findSenders(get, service),
    findService: id => get('catalog').find(id)?.upstream.service,
    onChange: (upstream, refusalsPerS) => {
      get('log').info('upstream_refusals_limited', {upstream, refusalsPerS});
    },
  });
};

const createAvailability = (
  get: gatewayComponents.GatewayResolver,
): gateway.UpstreamAvailability => {
  const {settings, clock} = get('options');
  return new gateway.UpstreamAvailability({
    catalog: get('catalog'),
    limits: get('limits'),
    backoffs: get('backoffs'),
    leaving: get('leavingNotices'),
    concurrency: get('concurrencyShares'),
    coldStarts: get('coldStarts'),
    absenceSigns: get('absenceSigns'),
    absences: get('upstreamAbsences'),
    inFlightOf: id => get('picker').inFlightOf(id),
    now: () => clock.steadyNow(),
    isZoneOut: zone => get('state').isZoneOut(zone),
    coldShare: (upstream, service) =>
      decisions.findColdShare(
        {perSecond: service.coldPerSecond, ...settings.current.bounds.cold},
        upstream.id,
        settings.current.instance.id,
        get('members').idsForShares(clock.now()),
        get('knownFleet').knowableForMs,
      ),
  });
};

const createPlacement = (
  get: gatewayComponents.GatewayResolver,
): gateway.UpstreamPlacement => {
  const {settings, clock} = get('options');
  return new gateway.UpstreamPlacement({
    catalog: get('catalog'),
    availability: get('availability'),
    picker: get('picker'),
    latencies: get('latencies'),
    repeats: get('repeatBudget'),
    onRepeat: (purpose, decision) => {
      get('metrics').recordRepeat(purpose, decision);
    },
    rollouts: get('rollouts'),
    forwarder: get('peerForwarder'),
    ends: get('upstreamEnds'),
    quarantine: get('partQuarantine'),
    isLost: service => get('upstreamLinks').isLost(service),
    now: () => clock.now(),
    upstreamsAgeMs: () => get('state').upstreamsAgeMs(),
    regionOf: zone => settings.current.zones.get(zone),
  });
};

/** Records what an upstream says about itself in an answer. */
const recordNotices = (
  get: gatewayComponents.GatewayResolver,
  upstream: routing.Upstream,
  {rateLimit, refusalLimit, backoffMs, isLeaving}: gateway.UpstreamNotices,
): void => {
  get('limits').record(upstream.id, rateLimit);
  get('concurrencyShares').record(upstream, refusalLimit);
  if (backoffMs !== undefined) {
    get('backoffs').record(upstream, backoffMs);
  }
  if (isLeaving) {
    get('leavingNotices').record(upstream);
  }
};

const BYTES_PER_MB = 1_048_576;

const createGateway = (
  get: gatewayComponents.GatewayResolver,
): gateway.Gateway => {
  const {clock, random, settings} = get('options');
  const {change} = settings.current.bounds;
  return new gateway.Gateway({
    clock,
    loop: get('loopMonitor'),
    random,
    log: get('log'),
    memory: get('memory'),
    latencies: get('latencies'),
    escalation: get('escalationPolicy'),
    probe: get('upstreamProbe'),
    confirmEnd: get('confirmEnd'),
    probePeer: gateway.createProbe(clock),
    links: {
      isLost: service => get('upstreamLinks').isLost(service),
      whenLost: (...wait) => get('linkMonitor').whenLost(...wait),
    },
    hasRoomForForwarded: () => get('forwardAdmission').hasRoom(),
    openForward: gateway.createOpenForward(
      get('peerPool'),
      HEADER_CONVENTIONS.headers,
      (id, notices) => {
        const known = get('catalog').find(id);
        if (known) {
          recordNotices(get, known.upstream, notices);
        }
      },
    ),
    whenSynced: () =>
      Promise.race([get('state').whenSynced(), clock.sleep(HOLD_AT_START_MS)]),
    headerConventions: HEADER_CONVENTIONS,
    place: query => get('placement').place(query),
    openCall: gateway.createOpenCall(get('pool'), HEADER_CONVENTIONS.headers, {
      recordNotices: (upstream, notices) => {
        recordNotices(get, upstream, notices);
      },
      links: get('linkMonitor'),
    }),
    refreshTable: () => get('viewRefresher').refresh(),
    activeTable: () => get('state').activeTable(),
    onRequestEnd: sample => {
      get('metrics').recordRequest(sample);
    },
    tableAgeLimits: {
      keyChecksMs: gatewayState.KEY_AGE_FRACTION * change.revocationMs,
      denialsMs: gatewayState.DENIAL_AGE_FRACTION * change.configurationMs,
    },
  });
};

/**
 * Creates the factories by token. Components that count within a window, or wait
 * for as long as an upstream said, use the clock that never runs ahead: where the
 * wall clock is set forward, they would send what other instances count on.
 */
export const createRequestFactories = (
  options: gatewayComponents.GatewayOptions,
): gatewayComponents.ComponentFactories<RequestComponent> => ({
  latencies: () => new decisions.LatencyEstimates(),
  escalationPolicy: get =>
    new gateway.EscalationPolicy({
      now: () => options.clock.now(),
      availability: get('availability'),
      picker: get('picker'),
      repeats: get('repeatBudget'),
    }),
  catalog: get =>
    new gateway.UpstreamCatalog({
      onChanges: changes => {
        dropGoneUpstreams(get, changes);
        coldFactories.recordEntries(get, changes);
        get('log').info(
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
      onEject: (upstream, ejectedMs, stats) => {
        const forMs = Math.round(ejectedMs);
        get('log').warn('upstream_rested', {upstream, forMs, ...stats});
      },
      zone: options.settings.current.instance.zone,
      now: () => options.clock.now(),
      random: options.random,
    }),
  fleetSends: get =>
    new decisions.FleetSends({
      self: formatIncarnation(get),
      windowMs: options.settings.current.bounds.retry.windowMs,
      now: () => options.clock.steadyNow(),
      isAlone: () => get('knownFleet').sharers?.length === 1,
    }),
  repeatBudget: get => {
    const {ratio, windowMs} = options.settings.current.bounds.retry;
    return new decisions.RepeatBudget({
      ratio: repeatSlack.REPEAT_BUDGET_FRACTION * ratio,
      windowMs,
      now: () => options.clock.steadyNow(),
      fleet: get('fleetSends'),
    });
  },
  limits: get =>
    new decisions.RateLimits({
      now: () => options.clock.steadyNow(),
      self: options.settings.current.instance.id,
      findInstances: () => get('knownFleet').sharers,
      onChange: (upstream, perSecond) => {
        get('log').info('upstream_limited', {upstream, perSecond});
      },
    }),
  backoffs: get =>
    new decisions.UpstreamBackoffs({
      now: () => options.clock.steadyNow(),
      onBegin: (upstream, forMs) => {
        get('log').info('upstream_backoff', {
          upstream,
          forMs: Math.round(forMs),
        });
      },
    }),
  leavingNotices: get =>
    new decisions.LeavingNotices({
      now: () => options.clock.steadyNow(),
      onFirst: upstream => {
        get('log').info('upstream_leaving', {upstream});
      },
    }),
  concurrencyShares: createConcurrencyShares,
  availability: createAvailability,
  rollouts: createRollouts,
  pool: () =>
    new gateway.ConnectionPool(options.settings.current.sourceAddress),
  placement: createPlacement,
  memory: () =>
    new decisions.MemoryBudget(
      options.settings.current.limits.memoryMb * BYTES_PER_MB,
    ),
  gateway: createGateway,
  callerServer: get =>
    new gateway.CallerServer(
      options.settings.current.listen.callers,
      (...exchange) => get('gateway').handle(...exchange),
      get('loopMonitor'),
      options.callerListener,
      error => {
        logInternalError.logInternalError(get('log'), 'caller_server', error);
      },
    ),
});
