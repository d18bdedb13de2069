/** The parts of a gateway instance by token, and how one gets at them. */
import type * as decisions from '@amaranthknot/decisions';
import type * as fleet from '@amaranthknot/fleet';
import type * as gateway from '@amaranthknot/gateway';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as fleetReport from './fleet-report.js';
import type * as fleetWatch from './fleet-watch.js';
import type * as gatewayState from './gateway-state.js';
import type * as settingsSource from './settings-source.js';
import type * as storeWatching from './store-watching.js';

/** What a gateway instance is made for. */
export interface GatewayOptions {
  /** The settings in force; a reload replaces them. */
  readonly settings: settingsSource.SettingsSource;
  readonly clock: ports.Clock;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** The platform's store; reached over HTTP where none is given. */
  readonly store?: ports.StatusStore;
  /** Carries messages to peers; over HTTP where none is given. */
  readonly transport?: protocol.HttpTransport;
}

/** Followers of all kinds. */
export type Followers = Readonly<
  Record<gatewayState.FollowedKind, fleet.KindReflector>
>;

/** Parts of a running instance, by token. */
export interface GatewayWiring {
  readonly options: GatewayOptions;
  readonly log: telemetry.DecisionLog;
  readonly metrics: telemetry.GatewayMetrics;
  readonly latencies: decisions.LatencyEstimates;
  readonly capable: gateway.EscalationPolicy;
  readonly store: ports.StatusStore;
  readonly views: gatewayState.Views;
  readonly state: gatewayState.GatewayState;
  readonly followers: Followers;
  /** Takes in that a view changed, and tells peers that wait for it. */
  readonly takeView: (view: fleet.KindView) => void;
  readonly watching: storeWatching.StoreWatching;
  readonly fleetWatch: fleetWatch.FleetWatch;
  readonly subscription: fleet.ViewSubscription;
  readonly transport: protocol.HttpTransport;
  readonly members: fleet.MemberTable;
  readonly refresh: fleet.ViewRefresher;
  readonly relay: fleet.ViewRelay;
  readonly reports: fleetReport.FleetReports;
  readonly exchange: fleet.ReportExchange;
  readonly peerServer: protocol.PeerServer;
  readonly catalog: gateway.UpstreamCatalog;
  readonly picker: decisions.UpstreamPicker;
  readonly repeats: decisions.RepeatBudget;
  readonly limits: decisions.RateLimits;
  readonly rollouts: gateway.RolloutTracker;
  readonly pool: gateway.ConnectionPool;
  readonly placement: gateway.UpstreamPlacement;
  readonly gateway: gateway.Gateway;
  readonly callerServer: gateway.CallerServer;
}

/** Resolves one part. */
export type ResolveGateway = <K extends keyof GatewayWiring>(
  token: K,
) => GatewayWiring[K];

/** Factories that stand in for an instance's own, as in an experiment. */
export type PartOverrides = Partial<PartFactories<keyof GatewayWiring>>;

/** Factories of some parts, by token. */
export type PartFactories<K extends keyof GatewayWiring> = {
  readonly [P in K]: (get: ResolveGateway) => GatewayWiring[P];
};
