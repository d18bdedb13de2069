/**
 * Decides which share of new work each availability zone gets: none while it is
 * taken out, a growing share after it is brought back.
 */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';

/** Tracks the zones of the active configuration. */
export class ZoneRamp {
  private statuses = new Map<string, decisions.ZoneStatus>();

  constructor(
    private readonly now: () => number,
    private readonly timing: decisions.ZoneTiming = decisions.ZONE_TIMING,
  ) {}

  /** Applies the zones of a configuration that became active. */
  apply(zones: readonly configuration.Zone[]): void {
    const now = this.now();
    this.statuses = new Map(
      zones.map(({name, state}) => {
        const before = this.statuses.get(name) ?? decisions.ZONE_IN;
        return [name, decisions.setZoneState(before, state, now)];
      }),
    );
  }

  /**
   * Zones that one request must not use.
   *
   * @param draw uniform in [0, 1), drawn for the request: a zone of weight 0.2
   *   is open to the fifth of all requests whose draw is below 0.2
   */
  listClosed(draw: number): ReadonlySet<string> {
    const now = this.now();
    const closed = new Set<string>();
    for (const [name, status] of this.statuses) {
      if (draw >= decisions.findZoneWeight(status, now, this.timing)) {
        closed.add(name);
      }
    }
    return closed;
  }
}
