/**
 * Settings of one gateway instance: who it is, where it listens, and the
 * bounds within which operators expect a change to take effect. Times are in
 * milliseconds.
 */
import type * as settings from './settings.js';

/** Where the instance listens. */
export interface GatewayListen {
  readonly callers: settings.Address;
  readonly readiness: settings.Address;
  readonly directory: settings.Address;
  readonly peers: settings.Address;
  /** Absent where nobody collects metrics. */
  readonly metrics?: settings.Address;
}

/** The platform's store. */
export interface GatewayStore {
  readonly address: settings.Address;
  /** Calls a second that all instances together may make. */
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** Within what a change, counted from the store's answer, must take effect. */
export interface ChangeBounds {
  /** A new configuration. */
  readonly configurationMs: number;
  /** No new request to an upstream that leaves or is gone. */
  readonly leavingMs: number;
  /** No new request to a zone that was taken out. */
  readonly evacuationMs: number;
  /** No request with a revoked key, on any instance, cut off or not. */
  readonly revocationMs: number;
  /** A leaving instance must have ended by then. */
  readonly stopGraceMs: number;
  /** Time after a disturbance until the bounds hold again. */
  readonly stabilityMs: number;
}

/** How often requests may be sent again, over all instances. */
export interface RetryBounds {
  /** Repeats for each request of a window. */
  readonly ratio: number;
  /** Repeats in a window on top of the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

/** How much of a service's traffic an unproved version may see. */
export interface ExposureBounds {
  readonly share: number;
  /** Requests on top of the share. */
  readonly slack: number;
  /** Time from the evidence against a version to its last request. */
  readonly rollbackMs: number;
}

/** What a cold upstream bears beyond the configured rate. */
export interface ColdBounds {
  readonly overrun: number;
  readonly slack: number;
}

/** Bounds given by the operators. */
export interface GatewayBounds {
  readonly change: ChangeBounds;
  readonly retry: RetryBounds;
  readonly exposure: ExposureBounds;
  readonly cold: ColdBounds;
  /** Requests of a session that follow within this belong together. */
  readonly sessionMs: number;
  /** Longest time for which callers may keep the directory's answer. */
  readonly addressMaxAgeMs: number;
}

/** What the instance's machine gives it. */
export interface GatewayLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
  /** Processor time that it may use, in seconds a second of one core. */
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
  /** Peers to ask first; they may be gone. */
  readonly seeds: readonly settings.Address[];
  readonly store: GatewayStore;
  readonly bounds: GatewayBounds;
  readonly limits: GatewayLimits;
  readonly log: settings.LogSettings;
}
