/**
 * Which availability zones may get new work now, and how much: none while a
 * zone is out, a growing share after its return.
 */
import type * as configuration from '@amaranthknot/configuration';
import * as decisions from '@amaranthknot/decisions';

/** Follows the zones of the configuration in force. */
export class ZoneRamp {
  private statuses = new Map<string, decisions.ZoneStatus>();

  constructor(
    private readonly now: () => number,
    private readonly timing: decisions.ZoneTiming = decisions.ZONE_TIMING,
  ) {}

  /** Takes in the zones of a configuration that came into force. */
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
   * @param draw uniform in [0, 1), one for the request: a zone at weight 0.2
   *   is open to the fifth of all requests that drew less
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
