/** Share of new sessions that each rollout assigns to its new version. */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import * as rolloutCounters from './rollout-counters.js';
import * as rolloutDriver from './rollout-driver.js';

/** Time between two reads of the shares, in milliseconds. */
export const SHARES_INTERVAL_MS = 1_000;

/**
 * Age from which a share counts as 0 for new sessions, in milliseconds. Without
 * current shares, as in a platform outage, a bad version could not be stopped.
 * Sessions that have the new version keep it; new ones get the old version.
 */
const MAX_SHARE_AGE_MS = 10_000;

/** Reads and caches the shares of all rollouts. */
export class RolloutShares {
  private shares = new Map<string, number>();
  private readAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: ports.ObjectStore,
    private readonly clock: ports.Clock,
  ) {}

  /** Reads all states; call it only while the document has a rollout. */
  async refresh(environment: string): Promise<void> {
    const kind = rolloutDriver.ROLLOUT_KIND;
    const listing = await this.store.list(kind, `${environment}.`);
    listing.ifRight(({objects}) => {
      this.readAt = this.clock.now();
      this.shares = new Map(
        objects.map(({name, value}) => {
          const {state} = value as rolloutDriver.StoredRollout;
          return [name, state.stopped ? 0 : state.share];
        }),
      );
    });
  }

  /** Share of new sessions for a rollout's new version, 0 to 1. */
  getShare(environment: string, rollout: configuration.Rollout): number {
    const isStale = this.clock.now() - this.readAt > MAX_SHARE_AGE_MS;
    if (isStale || rollout.state === 'withdrawn') {
      return 0;
    }
    const name = rolloutDriver.nameRolloutState(environment, rollout);
    return this.shares.get(name) ?? 0;
  }

  /** Version for a new session; undefined if the model has no rollout. */
  assign(
    environment: string,
    rollouts: readonly configuration.Rollout[],
    model: string,
    sessionKey: string,
  ): string | undefined {
    const rollout = rollouts.find(found => found.model === model);
    if (!rollout) {
      return undefined;
    }
    const name = rolloutCounters.nameRollout(rollout);
    const share = this.getShare(environment, rollout);
    const chosen = decisions.assignVersion(name, sessionKey, share);
    return chosen === 'new' ? rollout.to : rollout.from;
  }
}
