/** Counts this instance's observations of the versions of each rollout. */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';

/** Name of a rollout; a new one must not inherit the evidence of another. */
export const nameRollout = (rollout: configuration.Rollout): string =>
  `${rollout.model}.${rollout.from}.${rollout.to}`;

/** Counts to add to the evidence on a version. */
export type VersionObservation = Partial<decisions.VersionCounts>;

/** Evidence of one instance, by rollout. */
export class RolloutCounters {
  private readonly evidence = new Map<string, decisions.RolloutEvidence>();

  /**
   * Counts an observation if the version is the old or new one of a rollout.
   */
  count(
    rollouts: readonly configuration.Rollout[],
    model: string,
    version: string,
    observation: VersionObservation,
  ): void {
    const rollout = rollouts.find(found => found.model === model);
    const isOld = rollout?.from === version;
    if (!rollout || (!isOld && rollout.to !== version)) {
      return;
    }
    const name = nameRollout(rollout);
    const before = this.evidence.get(name) ?? decisions.NO_EVIDENCE;
    const after = isOld
      ? {...before, old: decisions.addCounts(before.old, observation)}
      : {...before, new: decisions.addCounts(before.new, observation)};
    this.evidence.set(name, after);
  }

  /** Evidence counted for a rollout since this instance started. */
  read(name: string): decisions.RolloutEvidence {
    return this.evidence.get(name) ?? decisions.NO_EVIDENCE;
  }
}
