/**
 * Settings of one entry instance: what differs between instances, and the
 * bounds that keep a small instance alive under load. Unlike the environment
 * document they hold addresses and secrets.
 */

/** Largest request body, in bytes: a long prompt with its history. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Largest request head, in bytes, against header floods. */
export const DEFAULT_MAX_HEADER_BYTES = 16_384;
/** Longest time a caller may take to send its head, against slow clients. */
export const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
/** Longest time from a whole request to its last byte; long welcome packs. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 120_000;
/** How long callers may keep the answer to which address to use. */
export const DEFAULT_ADDRESS_MAX_AGE_MS = 5_000;
/** Requests in progress on one instance. */
export const DEFAULT_MAX_IN_FLIGHT = 1_024;
/**
 * Bills kept while the object API is down. Past it requests are refused, since
 * an answer that can't be billed would be lost to its operator.
 */
export const DEFAULT_MAX_PENDING_BILLS = 50_000;
/** Claims of non-idempotent requests waiting for the object API. */
export const DEFAULT_MAX_PENDING_CLAIMS = 1_024;
/** Events kept for the time line; the oldest go first. */
export const DEFAULT_MAX_TIMELINE_EVENTS = 20_000;
/** Level of the log. */
export const DEFAULT_LOG_LEVEL: LogLevel = 'info';

/** Shortest secret, in characters: 128 bits in hex. */
export const MIN_SECRET_LENGTH = 32;

/** How much the log tells. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** An IP address and a port. */
export interface Address {
  /** IPv4 or IPv6 address, without brackets. */
  readonly host: string;
  /** 0 lets the system choose, for listening only. */
  readonly port: number;
}

/** A secret as written: in the settings themselves, or in a file of its own. */
export type Secret =
  | {readonly kind: 'text'; readonly text: string}
  | {readonly kind: 'file'; readonly path: string};

/** Who this instance is. */
export interface InstanceSettings {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly environment: string;
  readonly listen: Address;
  /** Where others reach it; absent means the address it listens on. */
  readonly advertise?: Address;
}

/** Where the platform's services are. */
export interface PlatformSettings {
  readonly objectApi: string;
  readonly instanceList: string;
  /** Absent where answers are not rated. */
  readonly rating?: string;
  /** Key shown to the platform; absent where it asks for none. */
  readonly key?: Secret;
}

/** Keys between callers, operators and instances. */
export interface KeySettings {
  /** SHA-256 digest of the operators' key, in lower-case hex. */
  readonly operatorDigest: string;
  /** Key that entry instances show each other. */
  readonly innerKey: Secret;
  /** Key that signs session tokens; the same on all instances. */
  readonly sessionKey: Secret;
}

/** Bounds of one instance. Times are in milliseconds. */
export interface InstanceLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /**
   * Longest graceful shutdown. It covers old answers to which address to use
   * and the longest request, so that a planned stop cuts none.
   */
  readonly stopGraceMs: number;
  readonly addressMaxAgeMs: number;
  readonly maxInFlight: number;
  readonly maxPendingBills: number;
  readonly maxPendingClaims: number;
  readonly maxTimelineEvents: number;
}

/** What the instance logs. */
export interface LogSettings {
  readonly level: LogLevel;
}

/** All settings of one entry instance. */
export interface Settings {
  readonly instance: InstanceSettings;
  readonly platform: PlatformSettings;
  readonly keys: KeySettings;
  readonly limits: InstanceLimits;
  readonly log: LogSettings;
}
