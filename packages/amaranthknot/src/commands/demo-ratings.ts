/**
 * Trains the cascades of the demo's instances with ratings of several hundred
 * earlier answers. Without them an instance explores all stages, and each run
 * of the demo would show different requests on different models.
 */
import type * as decisions from '@amaranthknot/decisions';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

const RATED_ANSWERS = 400;

/** As in examples/meetups.toml. */
const WORKSPACE = 'tamaki-newcomers';
const TARGET = 0.93;
const MODELS = ['guide-small', 'guide-medium', 'guide-large'];

/** One in this many prompts is too hard for the small model. */
const HARD_EVERY = 4;

/** Creates the seeded random source of one instance. */
export const createDemoRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(source);
};

/**
 * Feeds rated answers to a cascade policy. An answer is bad if and only if the
 * small model got a hard prompt.
 */
export const rateAnswers = (cascades: decisions.CascadePolicy): void => {
  for (let i = 0; i < RATED_ANSWERS; i++) {
    const isHard = i % HARD_EVERY === 0;
    for (const model of MODELS) {
      const isBad = isHard && model === MODELS[0];
      const answer = {
        workspace: WORKSPACE,
        task: 'general',
        model,
        escalated: isHard && model !== MODELS[0],
        score: isBad ? 0.05 : 0.98,
      };
      cascades.observeAnswer(answer);
      cascades.observeRating({
        ...answer,
        rating: isBad ? 0 : 1,
        target: TARGET,
      });
    }
  }
};
