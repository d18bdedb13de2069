/**
 * The environment document in its checked form: one document per environment,
 * holding no addresses, so that it is promoted from trial to production
 * unchanged.
 */

/** How urgent a workspace's requests are against those of others. */
export type Priority = 'door_check' | 'interactive' | 'batch';

/** Whether a version takes new work. A withdrawn version never does. */
export type VersionState = 'active' | 'withdrawn';

/** One version of a model. */
export interface Version {
  readonly name: string;
  readonly state: VersionState;
  /** Version that sessions of a withdrawn version move to. */
  readonly successor?: string;
}

/** A model with its versions. */
export interface Model {
  readonly name: string;
  /** Price of 1,000 generated tokens, in the operators' accounting unit. */
  readonly costPerThousandTokens: number;
  /** Version that new sessions get, unless a roll-out decides otherwise. */
  readonly defaultVersion: string;
  readonly versions: readonly Version[];
}

/** Models ordered from cheap to capable. */
export interface Cascade {
  readonly name: string;
  readonly stages: readonly string[];
}

/** A plain service beside the model engines. */
export interface Service {
  readonly name: string;
  /** Price of one call, in the operators' accounting unit. */
  readonly costPerCall: number;
  /** HTTP methods whose calls may be repeated; others run at most once. */
  readonly idempotentMethods: readonly string[];
}

/** What a rule allows: one cascade, one model or version, or one service. */
export type Target =
  | {readonly kind: 'cascade'; readonly cascade: string}
  | {readonly kind: 'model'; readonly model: string; readonly version?: string}
  | {readonly kind: 'service'; readonly service: string};

/** Bounds of one workspace, enforced at admission. */
export interface Limits {
  /** Requests in progress on one entry instance. */
  readonly maxConcurrent: number;
  /** Requests waiting on one entry instance. */
  readonly maxQueued: number;
  /** Longest wait for admission, in milliseconds. */
  readonly maxWaitMs: number;
}

/** A customer of the system, with its quality and its bounds. */
export interface Workspace {
  readonly name: string;
  /** SHA-256 digests of the workspace's keys, in lower-case hex. */
  readonly keyDigests: readonly string[];
  /** Share of answers, 0 to 1, that must be rated good. */
  readonly qualityTarget: number;
  readonly priority: Priority;
  /** Share of capacity relative to other workspaces, above 0. */
  readonly weight: number;
  readonly limits: Limits;
  /** Cascade used when a request names no model. */
  readonly defaultCascade?: string;
  /** Everything the access rules allow this workspace. */
  readonly allowed: readonly Target[];
}

/** Whether a zone may get new work. */
export type ZoneState = 'in' | 'out';

/** An availability zone as operators see it. */
export interface Zone {
  readonly name: string;
  readonly state: ZoneState;
}

/** What operators ask of a roll-out. */
export type RolloutState = 'running' | 'paused' | 'withdrawn';

/** Replaces one version of a model by another in steps. */
export interface Rollout {
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly state: RolloutState;
  /** Growing shares of new sessions, 0 to 1, the last being 1. */
  readonly steps: readonly number[];
}

/** How sessions are kept. */
export interface Sessions {
  /** How long a session token holds, in milliseconds. */
  readonly tokenMaxAgeMs: number;
}

/** A whole environment. Arrays are sorted by name. */
export interface Document {
  readonly models: readonly Model[];
  readonly cascades: readonly Cascade[];
  readonly services: readonly Service[];
  readonly workspaces: readonly Workspace[];
  readonly zones: readonly Zone[];
  readonly rollouts: readonly Rollout[];
  /** Absent when the document leaves sessions to the product's defaults. */
  readonly sessions?: Sessions;
}
