/**
 * Chooses the instance to which a request is forwarded.
 *
 * Load: the callers of one or of many instances whose links to upstreams are
 * cut. Harm prevented: all their requests at the same few instances, whose own
 * callers then wait. Pure.
 */
import * as sample from './sample.js';

/** An instance that has links to the upstreams of a service. */
export interface ForwardCandidate {
  readonly id: string;
  readonly zone: string;
  /** Processor cores available to it; may be a fraction. */
  readonly cores: number;
  /** Requests that this instance has in progress there. */
  readonly inFlight: number;
}

/** Candidates that are drawn from the own zone, and from all others. */
const SAMPLE_SIZE = 2;

/**
 * Requests in progress per core that another zone costs in the comparison, so
 * that the own zone is used until it has more than its share.
 */
const OTHER_ZONE_PENALTY = 4;

/**
 * Returns the least loaded of a few random candidates, those of the own zone
 * first; undefined if there are none.
 *
 * @param random uniform random numbers in [0, 1).
 */
export const chooseForwardPeer = <T extends ForwardCandidate>(
  candidates: readonly T[],
  zone: string,
  random: () => number,
): T | undefined => {
  const findCost = (candidate: T): number =>
    (candidate.inFlight + 1) / candidate.cores +
    (candidate.zone === zone ? 0 : OTHER_ZONE_PENALTY);
  const draw = (isOwnZone: boolean) =>
    sample.drawSample(
      candidates.filter(candidate => (candidate.zone === zone) === isOwnZone),
      SAMPLE_SIZE,
      random,
    );
  const drawn = [...draw(true), ...draw(false)];
  return drawn
    .map(candidate => ({candidate, cost: findCost(candidate)}))
    .sort((a, b) => a.cost - b.cost)[0]?.candidate;
};
