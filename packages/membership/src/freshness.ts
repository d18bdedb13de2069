/**
 * How sure an instance is that its configuration is the accepted one. It
 * decides between three cases that look alike from inside: all is well, the
 * platform is out for everybody, and this instance is cut off.
 */
import type * as protocol from '@amaranthknot/protocol';

/**
 * Age of a confirmation, in milliseconds, up to which a watcher counts as
 * confirmed. Operators who take a zone out or withdraw a version are promised
 * that no instance starts new work there after 3 s; an instance that was cut
 * off just before learns nothing, so it has to stop by itself before that.
 * Watchers renew it every 0.5 s, so one slow answer does not stop an instance.
 */
export const BASE_BOUND_MS = 2_500;

/**
 * What each doubling of instances per watcher adds, in milliseconds. One
 * exchange each second doubles the share of instances that hold a given
 * confirmation or better, and one and a half more cover the slow tail. At 1,000
 * instances with 27 watchers this makes 15.5 s, inside the 17 s in which a
 * change has to be in force everywhere.
 */
export const BOUND_PER_DOUBLING_MS = 2_500;

/** Age up to which an instance may start new work on its configuration. */
export const isolationBoundMs = (instances: number, watchers: number): number =>
  BASE_BOUND_MS +
  BOUND_PER_DOUBLING_MS *
    Math.log2(Math.max(1, instances / Math.max(1, watchers)));

/** Confirmations and signs of life, in the instance's own monotonic time. */
export class Freshness {
  private confirmedAt: number | undefined;
  private readonly heardAt = new Map<string, number>();

  /** The platform or a peer confirmed the configuration as of time `at`. */
  confirm(at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt ?? at, at);
  }

  /** An instance of `zone` was alive at time `at`. */
  recordContact(zone: string, at: number): void {
    this.heardAt.set(zone, Math.max(this.heardAt.get(zone) ?? at, at));
  }

  /** Age of the last confirmation; undefined for never. */
  confirmedAgeMs(now: number): number | undefined {
    return this.confirmedAt === undefined ? undefined : now - this.confirmedAt;
  }

  /** Ages of the last signs of life by zone, older than `boundMs` left out. */
  zoneAgesMs(now: number, boundMs: number): Record<string, number> {
    const ages = [...this.heardAt]
      .map(([zone, at]) => [zone, Math.round(now - at)] as const)
      .filter(([, age]) => age <= boundMs);
    return Object.fromEntries(ages);
  }

  /**
   * Judges the configuration. In an outage of the platform nobody can accept
   * a change, so serving on is right; cut off from the platform, a change may
   * have been accepted unseen, so it is wrong. The difference: in an outage
   * most zones are heard, and none of them reached the platform either, or
   * its confirmation would have come along. An instance alone, or a group in
   * half of the zones or fewer, can not know.
   */
  judge(
    now: number,
    zones: readonly string[],
    boundMs: number,
  ): Exclude<protocol.Standing, 'starting'> {
    if ((this.confirmedAgeMs(now) ?? Infinity) <= boundMs) {
      return 'confirmed';
    }
    const heard = zones.filter(
      zone => now - (this.heardAt.get(zone) ?? -Infinity) <= boundMs,
    );
    return heard.length * 2 > zones.length ? 'platform_out' : 'isolated';
  }
}
