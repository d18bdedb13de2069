/** Ranks candidates for a key, the same on every instance. */
import * as murmurhash from 'murmurhash';

/**
 * Ranks `ids` by rendezvous hash for `key`, best first. When an instance goes,
 * only the keys that it ranked first for move.
 */
export const rankByRendezvous = (
  key: string,
  ids: readonly string[],
  count = ids.length,
): readonly string[] =>
  ids
    .map(id => ({id, score: murmurhash.default.v3(`${key}\n${id}`)}))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .slice(0, count)
    .map(ranked => ranked.id);
