/**
 * Types of a checked environment document. There is one document per
 * environment. It holds no addresses, so that it can be promoted from trial to
 * production unchanged.
 */

/** Urgency of a workspace's requests relative to those of others. */
export type Priority = 'door_check' | 'interactive' | 'batch';

/** Whether a version gets new work; a withdrawn version never does. */
export type VersionState = 'active' | 'withdrawn';

/** One version of a model. */
export interface Version {
  readonly name: string;
  readonly state: VersionState;
  /** Version to which sessions move when this one is withdrawn. */
  readonly successor?: string;
}

/** A model with its price and versions. */
export interface Model {
  readonly name: string;
  /** Price of 1,000 generated tokens, in the operators' accounting unit. */
  readonly costPerThousandTokens: number;
  /** Version of new sessions, unless a rollout assigns another. */
  readonly defaultVersion: string;
  readonly versions: readonly Version[];
}

/** Models that a request goes through, from cheap to capable. */
export interface Cascade {
  readonly name: string;
  /** Names of models. */
  readonly stages: readonly string[];
}

/** A service that is not a model engine. */
export interface Service {
  readonly name: string;
  /** Price of one call, in the operators' accounting unit. */
  readonly costPerCall: number;
  /** HTTP methods whose calls may be retried; others run at most once. */
  readonly idempotentMethods: readonly string[];
}

/** What an access rule allows: a cascade, a model or version, or a service. */
export type Target =
  | {readonly kind: 'cascade'; readonly cascade: string}
  | {readonly kind: 'model'; readonly model: string; readonly version?: string}
  | {readonly kind: 'service'; readonly service: string};

/** Limits of one workspace, enforced at admission. */
export interface Limits {
  /** Maximum requests in progress on one entry instance. */
  readonly maxConcurrent: number;
  /** Maximum requests queued on one entry instance. */
  readonly maxQueued: number;
  /** Longest wait for admission, in milliseconds. */
  readonly maxWaitMs: number;
}

/** A customer, with its keys, quality target, limits and rights. */
export interface Workspace {
  readonly name: string;
  /** SHA-256 digests of the workspace's keys, in lower-case hex. */
  readonly keyDigests: readonly string[];
  /** Fraction of answers, 0 to 1, that must be rated good. */
  readonly qualityTarget: number;
  readonly priority: Priority;
  /** Share of capacity relative to other workspaces, above 0. */
  readonly weight: number;
  readonly limits: Limits;
  /** Cascade used when a request names no model. */
  readonly defaultCascade?: string;
  /** All targets that the access rules allow this workspace. */
  readonly allowed: readonly Target[];
}

/** Whether a zone gets new work. */
export type ZoneState = 'in' | 'out';

/** An availability zone and the state that operators set. */
export interface Zone {
  readonly name: string;
  readonly state: ZoneState;
}

/** State of a rollout that operators requested. */
export type RolloutState = 'running' | 'paused' | 'withdrawn';

/** Stepwise replacement of one version of a model by another. */
export interface Rollout {
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly state: RolloutState;
  /** Increasing fractions of new sessions, above 0; the last is 1. */
  readonly steps: readonly number[];
}

/** Settings of sessions. */
export interface Sessions {
  /** Lifetime of a session token. */
  readonly tokenMaxAgeMs: number;
}

/** All objects of one environment. Arrays of named objects are sorted by name. */
export interface Document {
  readonly models: readonly Model[];
  readonly cascades: readonly Cascade[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly zones: readonly Zone[];
  readonly rollouts: readonly Rollout[];
  /** Absent if the defaults apply. */
  readonly sessions?: Sessions;
}
