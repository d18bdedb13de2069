/** Counts what this instance sees of the two versions of each roll-out. */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';

/** Names a roll-out, so that a new one does not inherit old evidence. */
export const nameRollout = (rollout: configuration.Rollout): string =>
  `${rollout.model}.${rollout.from}.${rollout.to}`;

/** One observation about a version. */
export type VersionObservation = Partial<decisions.VersionCounts>;

/** Evidence of one instance, by roll-out. */
export class RolloutCounters {
  private readonly evidence = new Map<string, decisions.RolloutEvidence>();

  /** Counts a sign for the version if a roll-out is about it. */
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

  /** What was counted for a roll-out. */
  read(name: string): decisions.RolloutEvidence {
    return this.evidence.get(name) ?? decisions.NO_EVIDENCE;
  }
}
