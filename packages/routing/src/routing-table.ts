/**
 * The routing table: one version of the operators' configuration for the
 * gateway. It is immutable; a change creates a table with a higher version.
 */

/**
 * Whether requests may be repeated.
 *
 * - `idempotent`: a request may run any number of times.
 * - `at_most_once`: a request may run once at most.
 * - `stream`: the answer is a stream of numbered events; `Route.isResumable`
 *   says whether it may be resumed.
 */
export type RouteKind = 'idempotent' | 'at_most_once' | 'stream';

/** A service that a route uses, with its share of the traffic. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the sum of the weights of the route's targets. */
  readonly weight: number;
}

/** One route. Times are in milliseconds. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time until the final answer. */
  readonly timeoutMs: number;
  /** Time within which an answer, or a stream's first event, is on time. */
  readonly latencyTargetMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly pauseTargetMs?: number;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams on which one request may run. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may resume at another upstream. */
  readonly isResumable: boolean;
  /** Models that may answer, cheapest first; empty where the caller chooses. */
  readonly models: readonly string[];
  /** Regions in which requests may run; empty for all. */
  readonly allowedRegions: readonly string[];
}

/** A model that a service runs. */
export interface ServiceModel {
  readonly name: string;
  /** Price of 1,000 generated tokens; prompt tokens cost a quarter of it. */
  readonly cost: number;
}

/** Properties of a service's model engines. */
export interface Engine {
  /** Requests that one engine batches at a time. */
  readonly slots: number;
  /** Tokens that fit into one engine's cache. */
  readonly cacheTokens: number;
  readonly models: readonly ServiceModel[];
}

/** A service behind the gateway. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all instances together. */
  readonly connectionLimit: number;
  /** How long an upstream stays cold after its start, in milliseconds. */
  readonly coldStartMs: number;
  /** Requests a second that one cold upstream can take; 0 for no limit. */
  readonly coldPerSecond: number;
  /** Present if the upstreams are model engines. */
  readonly engine?: Engine;
}

/** A workspace, which is one customer. */
export interface Workspace {
  readonly name: string;
  /** Rank among workspaces; 0 is the most urgent. */
  readonly priority?: number;
  /** Regions in which its requests may run; empty for all. */
  readonly allowedRegions: readonly string[];
}

/** Limits of what callers may send, and how slowly. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** By API key; undefined where callers need no keys. */
  readonly workspaces?: ReadonlyMap<string, Workspace>;
  readonly limits: CallerLimits;
}
