/** Roll-outs as operators order them. */

/** How far a roll-out has come. */
export type RolloutState = 'running' | 'completed' | 'rolled_back';

/** An order to move a service's traffic to another version. */
export interface Rollout {
  readonly service: string;
  /** Version that is to take over. */
  readonly version: string;
  /** Time from the order until it must have ended, in milliseconds. */
  readonly durationMs: number;
  /** `running` until an instance has reported an end. */
  readonly state: RolloutState;
  /** Version of the order's object; reports are written against it. */
  readonly revision: number;
}
