/**
 * Judges whether an instance's configuration is still the accepted one. It
 * distinguishes three cases that look alike to the instance: all is well, the
 * platform is down for everybody, and this instance is cut off.
 */
import type * as protocol from '@amaranthknot/protocol';

/**
 * Age of a confirmation, in milliseconds, up to which a watcher counts as
 * confirmed. When operators take a zone out or withdraw a version, no instance
 * may start new work there after 3 s. An instance that was cut off just before
 * learns nothing of the change, so it has to stop by itself before that.
 * Watchers renew their confirmation every 0.5 s, so one slow answer does not
 * stop an instance.
 */
export const BASE_BOUND_MS = 2_500;

/**
 * What each doubling of instances per watcher adds to the bound, in
 * milliseconds. With one exchange each second, the fraction of instances that
 * hold a given confirmation or a later one doubles each second; the other 1.5 s
 * are for the instances that it reaches last. At 1,000 instances with 27
 * watchers the bound is 15.5 s, below the 17 s in which a change has to be
 * active everywhere.
 */
export const BOUND_PER_DOUBLING_MS = 2_500;

/**
 * Age of a confirmation, in milliseconds, up to which an instance may start new
 * work.
 */
export const isolationBoundMs = (instances: number, watchers: number): number =>
  BASE_BOUND_MS +
  BOUND_PER_DOUBLING_MS *
    Math.log2(Math.max(1, instances / Math.max(1, watchers)));

/**
 * Confirmations, and signs of life by zone, in the instance's own monotonic
 * time.
 */
export class Freshness {
  private confirmedAt: number | undefined;
  private readonly heardAt = new Map<string, number>();

  /**
   * Records that the platform or a peer confirmed the configuration as of time
   * `at`.
   */
  confirm(at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt ?? at, at);
  }

  /** Records that an instance of `zone` was alive at time `at`. */
  recordContact(zone: string, at: number): void {
    this.heardAt.set(zone, Math.max(this.heardAt.get(zone) ?? at, at));
  }

  /** Age of the last confirmation, in milliseconds; undefined if never. */
  confirmedAgeMs(now: number): number | undefined {
    return this.confirmedAt === undefined ? undefined : now - this.confirmedAt;
  }

  /**
   * Ages of the last signs of life by zone, without those older than `boundMs`.
   */
  zoneAgesMs(now: number, boundMs: number): Record<string, number> {
    const ages = [...this.heardAt]
      .map(([zone, at]) => [zone, Math.round(now - at)] as const)
      .filter(([, age]) => age <= boundMs);
    return Object.fromEntries(ages);
  }

  /**
   * Judges the configuration.
   *
   * In an outage of the platform nobody can accept a change, so it is right to
   * go on serving. If only this instance is cut off, it may have missed a change
   * that was accepted, so it must stop. In an outage most zones are heard, and
   * none of them reached the platform either, or its confirmation would have
   * come with the exchange. An instance that is alone, or in a group of half of
   * the zones or fewer, can't tell the two cases apart.
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
