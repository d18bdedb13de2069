/** Seeded random numbers for benchmarks and tests. */
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

/** Returns a function that draws uniform numbers in [0, 1). */
export const createRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(source);
};

/** Draws from an exponential distribution with a given mean. */
export const drawExponential = (random: () => number, mean: number): number =>
  -Math.log(1 - random()) * mean;
