/**
 * How long an instance may serve on a configuration that nobody confirms.
 *
 * Load: an instance cut off from the platform, from its peers, or both, and a
 * platform that is down for everyone. Harm prevented: an isolated instance
 * sends new work to a zone, version or upstream that was taken out meanwhile;
 * or all instances stop because the platform is down, though then nothing can
 * have been taken out.
 */

/** What an instance knows of its own connections. */
export interface ConfirmationView {
  /**
   * Time since the platform last confirmed the generation in force, to this
   * instance or, passed on with its age, to a peer, in milliseconds.
   */
  readonly confirmedAgoMs: number;
  /**
   * Peers heard from within the bound, and peers of the platform's last list
   * (not of those heard from, or a lone instance would be a majority).
   */
  readonly peersHeard: number;
  readonly peersKnown: number;
  /** Time since a peer was last heard from whose generation was the same. */
  readonly agreedAgoMs: number;
}

/**
 * - `confirmed`: the configuration is known to be in force.
 * - `platform_out`: nobody reaches the platform, but most peers are there and
 *   agree; nothing can have changed, so serving goes on.
 * - `isolated`: a change may have been missed; no new work.
 */
export type Freshness = 'confirmed' | 'platform_out' | 'isolated';

/**
 * Longest time without confirmation, in milliseconds. A zone taken out gets
 * no new work after 3 s, on an isolated instance too: a second is left for
 * the change to reach those that are connected.
 */
export const CONFIRMATION_BOUND_MS = 2_000;

/**
 * Judges whether to go on serving. A minority that has lost the platform
 * can't tell an outage from its own isolation and stops; a majority goes on.
 * Left open: a platform that only a minority still reaches.
 */
export const judgeFreshness = (
  view: ConfirmationView,
  boundMs: number = CONFIRMATION_BOUND_MS,
): Freshness => {
  if (view.confirmedAgoMs <= boundMs) {
    return 'confirmed';
  }
  const present = view.peersHeard + 1;
  const isMajority = 2 * present > view.peersKnown + 1;
  const agrees = view.peersKnown === 0 || view.agreedAgoMs <= boundMs;
  return isMajority && agrees ? 'platform_out' : 'isolated';
};

/** Whether new work may start. */
export const mayStartWork = (freshness: Freshness): boolean =>
  freshness !== 'isolated';
