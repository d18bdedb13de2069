import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

/** Prompt tokens that the engine processes per ms. */
const TOKENS_PER_MS = 37;
const TARGET_MS = 1_500;

/** Lengths of the prompts in a burst, in tokens; a third are long. */
const SIZES = [2_400, 700, 9_200] as const;

interface Prompt {
  readonly atMs: number;
  readonly tokens: number;
}

/** A burst of `forMs` with 1.6 times the prompts that an engine can process. */
const createBurst = (seed: number, forMs: number): readonly Prompt[] => {
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

/** Processes prompts one at a time; returns how many exceed the target. */
const countLate = (
  prompts: readonly Prompt[],
  priorityOf: (prompt: Prompt) => number,
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
    waiting.sort((a, b) => priorityOf(a) - priorityOf(b) || a.atMs - b.atMs);
    const prompt = waiting.shift() as Prompt;
    nowMs += prompt.tokens / TOKENS_PER_MS;
    late += nowMs - prompt.atMs > TARGET_MS ? 1 : 0;
  }
  return late;
};

describe('findPrefillPriority', () => {
  const priorities = [
    {tokens: 0, priority: 0},
    {tokens: 350, priority: 0},
    {tokens: 700, priority: 1},
    {tokens: 2_400, priority: 3},
    {tokens: 9_200, priority: 5},
    {tokens: 10_000_000, priority: decisions.LOWEST_PREFILL_PRIORITY},
  ];

  priorities.forEach(({tokens, priority}) => {
    it(`gives a prompt of ${tokens} tokens priority ${priority}`, () => {
      chai.expect(decisions.findPrefillPriority(tokens)).equal(priority);
    });
  });

  it('halves the late prompts in a burst of short and long ones', () => {
    // For six seconds prompts arrive at 1.6 times the engine's rate. In order
    // of arrival 80 in 100 miss their target; by priority 27 do, nearly all of
    // them long ones.
    const prompts = createBurst(11, 6_000);
    const lateByArrival = countLate(prompts, () => 0) / prompts.length;
    const lateByPriority =
      countLate(prompts, ({tokens}) => decisions.findPrefillPriority(tokens)) /
      prompts.length;
    chai.expect(lateByArrival).greaterThan(0.6);
    chai.expect(lateByPriority).lessThan(lateByArrival / 2);
  });
});
