/**
 * Decides whether an instance may start new work on a configuration that the
 * platform has not confirmed recently.
 *
 * Load: an instance that is cut off from the platform, from its peers or from
 * both, and a platform outage that affects all instances. Harm prevented: an
 * isolated instance sends new work to a zone, version or upstream that has
 * since been withdrawn; or all instances stop during an outage of the platform,
 * although nothing can be withdrawn then.
 */

/** Contacts of an instance with the platform and its peers. */
export interface ConfirmationView {
  /**
   * Time since the platform last confirmed the active generation, to this
   * instance or to a peer that forwarded it with its age, in milliseconds.
   */
  readonly confirmedAgoMs: number;
  /** Number of peers heard from within the bound. */
  readonly peersHeard: number;
  /**
   * Number of peers in the last list of the platform. Peers heard from would
   * not do: a lone instance would then be a majority.
   */
  readonly peersKnown: number;
  /** Time since contact with a peer of the same generation, in milliseconds. */
  readonly agreedAgoMs: number;
}

/**
 * - `confirmed`: the configuration is known to be active.
 * - `platform_out`: no instance reaches the platform, but most peers are
 *   connected and have the same generation. Nothing can have changed, so
 *   serving continues.
 * - `isolated`: a change may have been missed, so no new work may start.
 */
export type Freshness = 'confirmed' | 'platform_out' | 'isolated';

/**
 * Maximum time without confirmation, in milliseconds. A withdrawn zone must
 * get no new work after 3 s, also from an isolated instance; one second is
 * left for the change to reach connected instances.
 */
export const CONFIRMATION_BOUND_MS = 2_000;

/**
 * Classifies the state of the configuration. A minority that has lost the
 * platform can't distinguish an outage from its own isolation and stops; a
 * majority continues. Not covered: a platform that only a minority reaches.
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

/** Whether new work may start in this state. */
export const mayStartWork = (freshness: Freshness): boolean =>
  freshness !== 'isolated';
