/**
 * Seeded random numbers of 32 bits, for benches that draw tens of millions:
 * several times faster than numbers of 53 bits.
 */
import * as generator from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** Draws uniform numbers in [0, 1) from a seeded generator. */
export const createCoarseRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => (source.next() >>> 0) / RANGE;
};
