/**
 * Assigns engines to model tiers and prompt prefixes. All instances compute the
 * same assignment without exchanging messages.
 *
 * Load: cheap models that process every prompt first, next to capable ones that
 * take ten times as long for it, and thousands of prompts with shared prefixes.
 * Harm prevented: cheap answers wait behind capable ones, and every engine
 * processes the shared prefixes again.
 */
import type * as pickRequest from './pick-request.js';
import * as rendezvous from './rendezvous.js';

/**
 * Fraction of engines reserved for cheap models. Cheap models process all
 * prompts first, in a tenth of the capable model's time per token. They decode
 * up to two times slower on an engine where a capable model prefills.
 */
const CHEAP_FRACTION = 0.3;

/** Rendezvous key of the tier split; any constant works. */
const TIER_KEY = 'tier';

/** Engines that are reserved for the tier of a request, and the others. */
export interface EngineTiers {
  readonly own: readonly pickRequest.PickCandidate[];
  readonly other: readonly pickRequest.PickCandidate[];
}

/**
 * Splits engines by tier, in the same way on all instances. Without a tier, or
 * with a single engine, all engines are `own`.
 */
export const splitByTier = (
  candidates: readonly pickRequest.PickCandidate[],
  tier: pickRequest.PickRequest['tier'],
): EngineTiers => {
  const {length} = candidates;
  if (length < 2 || tier === undefined) {
    return {own: candidates, other: []};
  }
  const count = Math.max(1, Math.round(CHEAP_FRACTION * length));
  const cheap = rendezvous.rankByRendezvous(
    TIER_KEY,
    candidates.map(({id}) => id),
    count,
  );
  const isOwn = ({id}: pickRequest.PickCandidate) =>
    cheap.includes(id) === (tier === 'cheap');
  return {
    own: candidates.filter(isOwn),
    other: candidates.filter(candidate => !isOwn(candidate)),
  };
};

/** Id of the upstream to which all instances send a prefix. */
export const findPrefixHome = (
  candidates: readonly pickRequest.PickCandidate[],
  prefixKey: string | undefined,
): string | undefined =>
  prefixKey === undefined
    ? undefined
    : rendezvous.rankByRendezvous(
        prefixKey,
        candidates.map(({id}) => id),
        1,
      )[0];
