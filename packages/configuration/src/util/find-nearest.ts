/** Finds the valid name closest to a misspelt one, for error messages. */
import * as levenshtein from 'fastest-levenshtein';

/**
 * Maximum edit distance, as a fraction of the longer name's length. One edit is
 * always allowed, since the fraction of a short name such as `v1` is below 1.
 */
const MAX_DISTANCE_FRACTION = 0.4;

/** Longest name that is compared; the cost grows with the square of its length. */
const MAX_COMPARED_LENGTH = 200;

/** Returns the candidate closest to a name; undefined if none is close enough. */
export const findNearest = (
  name: string,
  candidates: readonly string[],
): string | undefined => {
  if (candidates.length === 0 || name.length > MAX_COMPARED_LENGTH) {
    return undefined;
  }
  const nearest = levenshtein.closest(name, candidates);
  const longerLength = Math.max(name.length, nearest.length);
  const maxDistance = Math.max(1, longerLength * MAX_DISTANCE_FRACTION);
  return levenshtein.distance(name, nearest) <= maxDistance
    ? nearest
    : undefined;
};
