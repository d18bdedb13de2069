/** Near misses of names, for error messages. */
import * as levenshtein from 'fastest-levenshtein';

/**
 * Most edits, as a share of the longer name, that still look like a slip. One
 * edit always does: short names such as `v1` have no room for a share.
 */
const MAX_DISTANCE_FRACTION = 0.4;

/** Longest name worth comparing; the comparison's cost grows with its square. */
const MAX_COMPARED_LENGTH = 200;

/** Finds the candidate nearest to a name, unless none is near. */
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
