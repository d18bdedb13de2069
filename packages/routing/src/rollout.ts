/** Rollouts that operators request. */

/** State of a rollout. */
export type RolloutState = 'running' | 'completed' | 'rolled_back';

/** A request to move the traffic of a service to another version. */
export interface Rollout {
  readonly service: string;
  /** Version that is to get the traffic. */
  readonly version: string;
  /** Time from the request until the rollout must have ended, in ms. */
  readonly durationMs: number;
  /** `running` until an instance has reported an end. */
  readonly state: RolloutState;
  /** Store version of the object; reports are written against it. */
  readonly revision: number;
}
