/**
 * Seeded random numbers with 32 bits, for benches that draw tens of millions:
 * several times faster than numbers with 53 bits.
 */
import * as generator from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** Creates a seeded source of uniform numbers in [0, 1). */
export const createCoarseRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => (source.next() >>> 0) / RANGE;
};
