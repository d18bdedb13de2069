/**
 * Which engines are set apart, for models of a tier and for prompts that begin
 * alike; the same on all instances, without a message.
 *
 * Load: cheap models that read every prompt first, beside capable ones that
 * take ten times as long for it, and thousands of prompts that share their
 * beginnings. Harm prevented: cheap answers that wait behind capable ones, and
 * shared beginnings read again by every engine.
 */
import type * as pickRequest from './pick-request.js';
import * as rendezvous from './rendezvous.js';

/**
 * Part of the engines that is set apart for cheap models. They read all
 * prompts first, at a tenth of the capable model's time for each token, and
 * make tokens up to twice as slowly where a capable model reads beside them.
 */
const CHEAP_FRACTION = 0.3;

/** Names the ranking that sets engines apart; any fixed text does. */
const TIER_KEY = 'tier';

/** Engines by whether they are set apart for the tier of a try. */
export interface EngineTiers {
  readonly own: readonly pickRequest.PickCandidate[];
  readonly other: readonly pickRequest.PickCandidate[];
}

/** Engines that are set apart for a tier, the same on all instances. */
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

/** The upstream to which all instances send a shared beginning. */
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
