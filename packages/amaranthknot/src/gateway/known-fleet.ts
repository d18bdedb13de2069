/**
 * Whether one instance knows all instances among which shares are divided.
 *
 * Load: many instances that start together, or one that starts and reaches no
 * other. Harm prevented: each takes the whole of what all may use, because it
 * knows only itself.
 */
import type * as fleet from '@amaranthknot/fleet';
import * as decisions from '@amaranthknot/decisions';
import type * as protocol from '@amaranthknot/protocol';

/** Dependencies of a `KnownFleet`. */
export interface KnownFleetOptions {
  readonly now: () => number;
  /** Time since this instance started, in ms; never too long. */
  readonly uptimeMs: () => number;
  readonly members: fleet.MemberTable;
  /** Whether the settings name other instances as seeds. */
  readonly hasOtherSeeds: () => boolean;
}

/**
 * Time for which an instance that has reached no other one expects that there
 * are others, in milliseconds: they may all be cut off.
 */
const ALONE_MS = 30_000;

/** What one instance knows of the size of its fleet. */
export class KnownFleet {
  private isListed = false;

  constructor(private readonly options: KnownFleetOptions) {}

  /**
   * Time for which this instance could learn of all others, in milliseconds: 0
   * while it knows none although there should be some, and Infinity once a
   * watcher that knows the fleet has listed them.
   */
  get knowableForMs(): number {
    const {now, uptimeMs, members, hasOtherSeeds} = this.options;
    if (this.isListed || !hasOtherSeeds()) {
      return Infinity;
    }
    const isAlone = members.idsForShares(now()).length === 1;
    return isAlone && uptimeMs() < ALONE_MS ? 0 : uptimeMs();
  }

  /**
   * Ids of the instances among which shares are divided; undefined while this
   * instance has just started and may not know all.
   */
  get sharers(): readonly string[] | undefined {
    const {now, uptimeMs, members, hasOtherSeeds} = this.options;
    const isSettled =
      this.isListed ||
      !hasOtherSeeds() ||
      uptimeMs() >= decisions.NEW_INSTANCE_MS;
    return isSettled ? members.idsForShares(now()) : undefined;
  }

  /** Records a list of a watcher, which knows the fleet if it is old enough. */
  recordListFrom({start}: protocol.Member): void {
    const startedBeforeMs = this.options.members.self.start - start;
    this.isListed ||= startedBeforeMs >= decisions.NEW_INSTANCE_MS;
  }
}
