/** Factories of the components that keep an instance in sync with the store. */
import * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import * as fleet from '@amaranthknot/fleet';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import * as gatewayState from '../gateway-state.js';
import type * as gatewayComponents from '../gateway-components.js';
import * as watchRole from '../watch-role.js';

/** Tokens of the components that are created here. */
export type StoreComponent =
  | 'store'
  | 'views'
  | 'state'
  | 'reflectors'
  | 'viewRefresher'
  | 'relay'
  | 'onViewUpdate'
  | 'watchRole'
  | 'subscription';

/** Timeout of a call to the store, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000;

const createStore = (
  options: gatewayComponents.GatewayOptions,
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

const createViews = (): gatewayState.ViewsByKind => {
  const view = (kind: gatewayState.FollowedKind): fleet.KindView =>
    new fleet.KindView(platform.STORE_KINDS[kind]);
  return {
    configuration: view('configuration'),
    upstreams: view('upstreams'),
    rollouts: view('rollouts'),
    evacuations: view('evacuations'),
  };
};

const createReflector = (
  get: gatewayComponents.GatewayResolver,
  backoff: fleet.StoreBackoff,
  kind: gatewayState.FollowedKind,
): fleet.KindReflector => {
  const {clock} = get('options');
  const view = get('views')[kind];
  return new fleet.KindReflector({
    view,
    store: get('store'),
    clock,
    backoff,
    findWatchTimeoutMs: ageMs =>
      decisions.findWatchDurationMs(get('watchRole').boundMs(view.kind), ageMs),
    pauseAfterChangesMs: decisions.findChangePauseMs(
      get('watchRole').boundMs(view.kind),
    ),
    getSyncMode: () => get('watchRole').getSyncMode(view),
    onUpdate: get('onViewUpdate'),
    onRelist: relisted => {
      get('log').info('store_asked', {
        kind: relisted.kind,
        ageMs: Math.round(clock.now() - relisted.confirmedAtMs),
      });
    },
    onCall: (calledKind, error) => {
      get('metrics').recordStoreCall(calledKind, error?.code ?? 'done');
      get('state').recordStoreCall(error);
      get('watchRole').recordStoreCall(error);
    },
  });
};

const createReflectors = (
  get: gatewayComponents.GatewayResolver,
): gatewayComponents.Reflectors => {
  const backoff = new fleet.StoreBackoff(get('options').random);
  return {
    configuration: createReflector(get, backoff, 'configuration'),
    upstreams: createReflector(get, backoff, 'upstreams'),
    rollouts: createReflector(get, backoff, 'rollouts'),
    evacuations: createReflector(get, backoff, 'evacuations'),
  };
};

const createState = (
  get: gatewayComponents.GatewayResolver,
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

const createSubscription = (
  get: gatewayComponents.GatewayResolver,
): fleet.ViewSubscription =>
  new fleet.ViewSubscription({
    clock: get('options').clock,
    transport: get('transport').send,
    views: Object.values(get('views')),
    findSources: () => get('watchRole').findSources(),
    staleAfterMs: kind => get('watchRole').staleAfterMs(kind),
    onUpdate: get('onViewUpdate'),
    isWatcher: () => get('watchRole').isWatcher(),
    onLongHold: hold => {
      get('fleetChangeLogger').logLongHold(hold);
    },
    onFailure: (peer, error) => {
      get('fleetChangeLogger').logPeerFailure(peer, error);
    },
    createReport: source => get('reports').createFollowerReport(source),
    onSummary: (source, summary) => {
      get('reports').applySummary(source, summary);
    },
    onSuspectParts: parts => {
      get('partQuarantine').merge(parts);
    },
    onAbsences: absences => {
      get('upstreamAbsences').merge(absences);
    },
    onSourceChange: source => {
      get('log').info('watch_source_changed', {source});
    },
  });

/** Creates the factories by token. */
export const createStoreFactories = (
  options: gatewayComponents.GatewayOptions,
): gatewayComponents.ComponentFactories<StoreComponent> => ({
  store: () => options.store ?? createStore(options),
  views: createViews,
  state: createState,
  reflectors: createReflectors,
  viewRefresher: get =>
    new fleet.ViewRefresher({
      view: get('views').configuration,
      store: get('store'),
      clock: options.clock,
      onUpdate: get('onViewUpdate'),
    }),
  relay: get =>
    new fleet.ViewRelay({
      clock: options.clock,
      transport: get('transport').send,
      views: Object.values(get('views')),
      onUpdate: get('onViewUpdate'),
      staleAfterMs: kind => get('watchRole').staleAfterMs(kind),
    }),
  onViewUpdate: get => view => {
    get('state').applyView(view);
    get('relay').wakeWaiters();
  },
  watchRole: get =>
    new watchRole.WatchRole({
      now: () => options.clock.now(),
      members: get('members'),
      views: get('views'),
      bounds: options.settings.current.bounds,
      hasSeeds: options.settings.current.seeds.length > 0,
    }),
  subscription: createSubscription,
});
