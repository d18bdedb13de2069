/**
 * Settings of one entry instance: its identity and addresses, secrets, and
 * limits that keep a small instance from running out of resources under load.
 * The environment document holds no addresses and no secrets.
 */

/** Largest request body: a long prompt with its history. */
export const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Largest request head; protects against header floods. */
export const DEFAULT_MAX_HEADER_BYTES = 16_384;
/** Longest time to receive a request head; protects against slow clients. */
export const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
/**
 * Longest time from the complete request to the last byte of its answer. It
 * leaves time for long welcome packs.
 */
export const DEFAULT_REQUEST_TIMEOUT_MS = 120_000;
/** How long callers may cache the list of addresses to use. */
export const DEFAULT_ADDRESS_MAX_AGE_MS = 5_000;
/** Maximum requests in progress on one instance. */
export const DEFAULT_MAX_IN_FLIGHT = 1_024;
/**
 * Maximum bills kept while the object API is down. Above it requests are
 * refused, since their answers could not be billed.
 */
export const DEFAULT_MAX_PENDING_BILLS = 50_000;
/** Maximum claims of non-idempotent requests that wait for the object API. */
export const DEFAULT_MAX_PENDING_CLAIMS = 1_024;
/** Events kept for the time line; the oldest are overwritten first. */
export const DEFAULT_MAX_TIMELINE_EVENTS = 20_000;
/** Least severe level that is logged. */
export const DEFAULT_LOG_LEVEL: LogLevel = 'info';

/** Minimum length of a secret, in characters: 128 bits in hex. */
export const MIN_SECRET_LENGTH = 32;

/** Severities of log lines, most severe first. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** An IP address and a port. */
export interface Address {
  /** IPv4 or IPv6 address, without brackets. */
  readonly host: string;
  /** 0 lets the system choose a port; valid for listening only. */
  readonly port: number;
}

/** Secret as configured: inline, or the path of a file that holds it. */
export type Secret =
  | {readonly kind: 'text'; readonly text: string}
  | {readonly kind: 'file'; readonly path: string};

/** Identity and addresses of the instance. */
export interface InstanceSettings {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly environment: string;
  readonly listen: Address;
  /** Address that others connect to; defaults to `listen`. */
  readonly advertise?: Address;
}

/** URLs of the platform's services, and the key for them. */
export interface PlatformSettings {
  readonly objectApi: string;
  readonly instanceList: string;
  /** Rating service; absent if answers are not rated. */
  readonly rating?: string;
  /** Key sent to the platform; absent if the platform needs none. */
  readonly key?: Secret;
}

/** Keys that authenticate operators, instances and session tokens. */
export interface KeySettings {
  /** SHA-256 digest of the operators' key, in lower-case hex. */
  readonly operatorDigest: string;
  /** Key by which entry instances authenticate to each other. */
  readonly innerKey: Secret;
  /** Key that signs session tokens; must be the same on all instances. */
  readonly sessionKey: Secret;
}

/** Resource limits and timeouts of one instance. */
export interface InstanceLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  readonly requestTimeoutMs: number;
  /**
   * Longest graceful shutdown. It covers the time for which callers cache
   * addresses and the longest request, so that a planned stop cuts off none.
   */
  readonly stopGraceMs: number;
  readonly addressMaxAgeMs: number;
  readonly maxInFlight: number;
  readonly maxPendingBills: number;
  readonly maxPendingClaims: number;
  readonly maxTimelineEvents: number;
}

/** Settings of the log; also used by gateway instances. */
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
