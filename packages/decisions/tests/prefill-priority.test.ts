import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

/** Reads that many prompt tokens in a ms. */
const TOKENS_PER_MS = 37;
const TARGET_MS = 1_500;

/** Prompts of a crowd in tokens: reports, guides and a third of long logs. */
const SIZES = [2_400, 700, 9_200] as const;

interface Prompt {
  readonly atMs: number;
  readonly tokens: number;
}

/** A crowd for `forMs` that brings 1.6 times what one engine reads. */
const createCrowd = (seed: number, forMs: number): readonly Prompt[] => {
  const rng = generator.xoroshiro128plus(seed);
  const draw = () => distribution.uniformFloat64(rng);
  const meanTokens = SIZES.reduce((sum, size) => sum + size, 0) / SIZES.length;
  const gapMs = meanTokens / TOKENS_PER_MS / 1.6;
  const prompts: Prompt[] = [];
  for (let atMs = 0; atMs < forMs; atMs += 2 * gapMs * draw()) {
    const size = SIZES[Math.floor(draw() * SIZES.length)] ?? SIZES[0];
    prompts.push({atMs, tokens: size});
  }
  return prompts;
};

/** Reads prompts one after the other; returns how many wait too long. */
const countLate = (
  prompts: readonly Prompt[],
  rankOf: (prompt: Prompt) => number,
): number => {
  const waiting: Prompt[] = [];
  let next = 0;
  let nowMs = 0;
  let late = 0;
  while (next < prompts.length || waiting.length > 0) {
    if (waiting.length === 0) {
      nowMs = Math.max(nowMs, prompts[next]?.atMs ?? nowMs);
    }
    while ((prompts[next]?.atMs ?? Infinity) <= nowMs) {
      waiting.push(prompts[next++] as Prompt);
    }
    waiting.sort((a, b) => rankOf(a) - rankOf(b) || a.atMs - b.atMs);
    const read = waiting.shift() as Prompt;
    nowMs += read.tokens / TOKENS_PER_MS;
    late += nowMs - read.atMs > TARGET_MS ? 1 : 0;
  }
  return late;
};

describe('order of reading', () => {
  const ranks = [
    {tokens: 0, rank: 0},
    {tokens: 350, rank: 0},
    {tokens: 700, rank: 1},
    {tokens: 2_400, rank: 3},
    {tokens: 9_200, rank: 5},
    {tokens: 10_000_000, rank: decisions.LOWEST_PREFILL_PRIORITY},
  ];

  ranks.forEach(({tokens, rank}) => {
    it(`puts a prompt of ${tokens} tokens into rank ${rank}`, () => {
      chai.expect(decisions.findPrefillPriority(tokens)).equal(rank);
    });
  });

  it('lets a crowd of short and long prompts be on time more often', () => {
    // A crowd brings 1.6 times what an engine reads, for six seconds. As they
    // come: 80 in 100 prompts wait longer than their target. By rank: 27, of
    // which nearly all are long ones.
    const prompts = createCrowd(11, 6_000);
    const asTheyCome = countLate(prompts, () => 0) / prompts.length;
    const byRank =
      countLate(prompts, ({tokens}) => decisions.findPrefillPriority(tokens)) /
      prompts.length;
    chai.expect(asTheyCome).greaterThan(0.6);
    chai.expect(byRank).lessThan(asTheyCome / 2);
  });
});
