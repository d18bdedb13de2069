/**
 * Rendezvous (highest random weight) hashing: all processes rank the same ids
 * for a key in the same order, without communication.
 */
import * as murmurhash from 'murmurhash';

interface RankedId {
  readonly id: string;
  readonly weight: number;
}

/** 32-bit hash of a string. */
export const hashText = (text: string): number => murmurhash.default.v3(text);

/** Mixes two 32-bit hashes into one (MurmurHash3's finalizer). */
export const mixHashes = (a: number, b: number): number => {
  let mixed = a ^ Math.imul(b, 0x9e3779b1);
  mixed ^= mixed >>> 16;
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
};

const compareByWeight = (a: RankedId, b: RankedId): number =>
  b.weight - a.weight || (a.id < b.id ? -1 : a.id > b.id ? 1 : 0);

/**
 * Ranks `ids` for `key`, first choice first; returns at most `count`. Removing
 * an id does not change the order of the others, so the loss of an instance
 * moves only the keys that it ranked first for.
 */
export const rankByRendezvous = (
  key: string,
  ids: readonly string[],
  count: number = ids.length,
): readonly string[] => {
  const keyHash = hashText(key);
  const ranked = ids.map(id => ({
    id,
    weight: mixHashes(keyHash, hashText(id)),
  }));
  ranked.sort(compareByWeight);
  return ranked.slice(0, count).map(entry => entry.id);
};

/** An id to rank by weight. */
export interface WeightedId {
  readonly id: string;
  /** Relative weight, above 0. */
  readonly weight: number;
}

/** Above the largest 32-bit hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Ranks ids for `key` like `rankByRendezvous`; an id with twice the weight
 * ranks first for twice as many keys.
 */
export const rankByWeight = (
  key: string,
  items: readonly WeightedId[],
): readonly string[] => {
  const keyHash = hashText(key);
  const ranked = items.map(({id, weight}) => {
    const share = (mixHashes(keyHash, hashText(id)) + 1) / (HASH_RANGE + 1);
    return {id, weight: -weight / Math.log(share)};
  });
  ranked.sort(compareByWeight);
  return ranked.map(({id}) => id);
};
