/**
 * What the demo's instances have learned before its first request: ratings of
 * some hundred earlier answers. An instance that knows nothing tries all
 * stages, so that a demo from scratch would show a different run each time.
 */
import type * as decisions from '@amaranthknot/decisions';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

const RATED_ANSWERS = 400;

/** As in examples/meetups.toml. */
const WORKSPACE = 'tamaki-newcomers';
const TARGET = 0.93;
const MODELS = ['guide-small', 'guide-medium', 'guide-large'];

/** Every fourth prompt is too hard for the small model. */
const HARD_EVERY = 4;

/** Seeded random numbers for one instance of the demo. */
export const createDemoRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(source);
};

/** Rates earlier answers: bad exactly where a small model met a hard prompt. */
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
