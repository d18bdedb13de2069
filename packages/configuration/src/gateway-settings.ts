/**
 * Settings of one gateway instance: its identity, its addresses, the operators'
 * bounds on changes, retries and exposure, and its resources.
 */
import type * as settings from './settings.js';

/** Addresses on which the instance listens. */
export interface GatewayListen {
  readonly callers: settings.Address;
  readonly readiness: settings.Address;
  readonly directory: settings.Address;
  readonly peers: settings.Address;
  /** Absent if metrics are not collected. */
  readonly metrics?: settings.Address;
}

/** Address and call rates of the platform's store. */
export interface GatewayStore {
  readonly address: settings.Address;
  /** Calls per second that all instances together may make. */
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Times, from the store's answer, within which changes must take effect. */
export interface ChangeBounds {
  /** Until a new configuration is active. */
  readonly configurationMs: number;
  /** Until no new request goes to an upstream that is leaving or removed. */
  readonly leavingMs: number;
  /** Until no new request goes to a zone that was taken out. */
  readonly evacuationMs: number;
  /** Until every instance, even an isolated one, refuses a revoked key. */
  readonly revocationMs: number;
  /** Until a stopping instance has ended. */
  readonly stopGraceMs: number;
  /** From the end of a disturbance until the bounds hold again. */
  readonly stabilityMs: number;
}

/** Limit of the retries of all instances together. */
export interface RetryBounds {
  /** Retries per request within a window. */
  readonly ratio: number;
  /** Retries per window in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Limit of a service's traffic to a version that has not proved itself. */
export interface ExposureBounds {
  /** Fraction of the service's requests, 0 to 1. */
  readonly share: number;
  /** Requests in addition to the share. */
  readonly slack: number;
  /** Time from evidence against a version until its last request. */
  readonly rollbackMs: number;
}

/** Limit of requests to a cold upstream. */
export interface ColdBounds {
  /** Factor on the configured rate of cold upstreams. */
  readonly overrun: number;
  /** Requests in addition. */
  readonly slack: number;
}

/** Bounds that operators configure. */
export interface GatewayBounds {
  readonly change: ChangeBounds;
  readonly retry: RetryBounds;
  readonly exposure: ExposureBounds;
  readonly cold: ColdBounds;
  /** Idle time after which a session ends. */
  readonly sessionMs: number;
  /** Longest time for which callers may cache the directory's answer. */
  readonly addressMaxAgeMs: number;
}

/** Resources of its machine that the instance may use. */
export interface GatewayLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
  /** Processor time, in cores; may be fractional. */
  readonly cores: number;
}

/** All settings of one gateway instance. */
export interface GatewaySettings {
  readonly instance: {
    readonly id: string;
    readonly zone: string;
    readonly region: string;
  };
  /** Region of each availability zone. */
  readonly zones: ReadonlyMap<string, string>;
  readonly listen: GatewayListen;
  /** IP address from which upstreams are called; absent if the system chooses. */
  readonly sourceAddress?: string;
  /** Peers to contact at the start; they may no longer exist. */
  readonly seeds: readonly settings.Address[];
  /** Whether the whole deployment starts for the first time. */
  readonly isBootstrap: boolean;
  readonly store: GatewayStore;
  readonly bounds: GatewayBounds;
  readonly limits: GatewayLimits;
  readonly log: settings.LogSettings;
}
