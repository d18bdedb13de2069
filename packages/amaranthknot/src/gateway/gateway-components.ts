/** Types of the components of a gateway instance, and of their resolver. */
import type * as decisions from '@amaranthknot/decisions';
import type * as fleet from '@amaranthknot/fleet';
import type * as gateway from '@amaranthknot/gateway';
import type * as ports from '@amaranthknot/ports';
import type * as protocol from '@amaranthknot/protocol';
import type * as telemetry from '@amaranthknot/telemetry';
import type * as fleetReports from './fleet-reports.js';
import type * as fleetChangeLogger from './fleet-change-logger.js';
import type * as gatewayState from './gateway-state.js';
import type * as knownFleet from './known-fleet.js';
import type * as settingsSource from './settings-source.js';
import type * as watchRole from './watch-role.js';

/** What a gateway instance is created with. */
export interface GatewayOptions {
  /** The active settings; a reload replaces them. */
  readonly settings: settingsSource.SettingsSource;
  readonly clock: ports.Clock;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** The platform's store; an HTTP client of it by default. */
  readonly store?: ports.StatusStore;
  /** Listens for callers already; by default the address is opened. */
  readonly callerListener?: gateway.OpenedListener | undefined;
  /** Sends messages to peers; over HTTP by default. */
  readonly transport?: protocol.HttpTransport;
  /** How busy this instance is; by default as its event loop is. */
  readonly readUtilization?: ReadUtilization;
}

/**
 * Returns the part of the time since the last call in which an instance was
 * busy, 0 to 1.
 */
export type ReadUtilization = () => number;

/** The reflector of each followed kind. */
export type Reflectors = Readonly<
  Record<gatewayState.FollowedKind, fleet.KindReflector>
>;

/** Components of a running instance, by token. */
export interface GatewayComponents {
  readonly options: GatewayOptions;
  readonly log: telemetry.DecisionLog;
  readonly metrics: telemetry.GatewayMetrics;
  readonly latencies: decisions.LatencyEstimates;
  readonly escalationPolicy: gateway.EscalationPolicy;
  readonly store: ports.StatusStore;
  readonly views: gatewayState.ViewsByKind;
  readonly state: gatewayState.GatewayState;
  readonly reflectors: Reflectors;
  /** Applies a view that changed, and wakes the peers that wait for it. */
  readonly onViewUpdate: (view: fleet.KindView) => void;
  readonly watchRole: watchRole.WatchRole;
  readonly fleetChangeLogger: fleetChangeLogger.FleetChangeLogger;
  readonly subscription: fleet.ViewSubscription;
  readonly transport: protocol.HttpTransport;
  readonly members: fleet.MemberTable;
  readonly knownFleet: knownFleet.KnownFleet;
  readonly viewRefresher: fleet.ViewRefresher;
  readonly relay: fleet.ViewRelay;
  readonly reports: fleetReports.FleetReports;
  readonly exchange: fleet.ReportExchange;
  readonly peerServer: protocol.PeerServer;
  readonly catalog: gateway.UpstreamCatalog;
  readonly picker: decisions.UpstreamPicker;
  readonly fleetSends: decisions.FleetSends;
  readonly repeatBudget: decisions.RepeatBudget;
  readonly limits: decisions.RateLimits;
  readonly backoffs: decisions.UpstreamBackoffs;
  readonly leavingNotices: decisions.LeavingNotices;
  readonly concurrencyShares: decisions.ConcurrencyShares;
  readonly coldStarts: decisions.ColdStarts;
  readonly absenceSigns: decisions.AbsenceSigns;
  readonly upstreamAbsences: decisions.UpstreamAbsences;
  readonly availability: gateway.UpstreamAvailability;
  readonly partQuarantine: decisions.PartQuarantine;
  readonly upstreamEnds: gateway.UpstreamEnds;
  readonly upstreamLinks: decisions.UpstreamLinks;
  readonly linkMonitor: gateway.LinkMonitor;
  readonly requestHealth: gateway.RequestHealth;
  /** Confirms that an answer without a length has ended as a whole. */
  readonly confirmEnd: gateway.ConfirmEnd;
  /** Probes upstreams, and tells the monitor of those that don't answer. */
  readonly upstreamProbe: gateway.ProbeUpstream;
  readonly peerForwarder: gateway.PeerForwarder;
  readonly forwardAdmission: decisions.ForwardAdmission;
  /** Connections over which requests are forwarded. */
  readonly peerPool: gateway.ConnectionPool;
  readonly rollouts: gateway.RolloutTracker;
  readonly pool: gateway.ConnectionPool;
  readonly placement: gateway.UpstreamPlacement;
  readonly memory: decisions.MemoryBudget;
  readonly gateway: gateway.Gateway;
  readonly callerServer: gateway.CallerServer;
  readonly loopMonitor: gateway.LoopMonitor;
}

/** Resolves a component by its token. */
export type GatewayResolver = <K extends keyof GatewayComponents>(
  token: K,
) => GatewayComponents[K];

/** Factories that replace an instance's own, as in an experiment. */
export type ComponentOverrides = Partial<
  ComponentFactories<keyof GatewayComponents>
>;

/** Factories of some components, by token. */
export type ComponentFactories<K extends keyof GatewayComponents> = {
  readonly [P in K]: (get: GatewayResolver) => GatewayComponents[P];
};
