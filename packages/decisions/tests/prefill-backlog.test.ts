import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const TARGET_MS = 2_000;
const NOW_MS = 1_000;

const learn = (
  samples: readonly (readonly [tokens: number, waitMs: number])[],
): decisions.PrefillBacklog => {
  const backlog = new decisions.PrefillBacklog();
  samples.forEach(([tokens, waitMs]) => {
    backlog.record(tokens, waitMs, NOW_MS);
  });
  return backlog;
};

describe('PrefillBacklog', () => {
  it('returns no wait while the prefill speed is unknown', () => {
    chai.expect(learn([]).waitMs(1_000_000, 1, NOW_MS)).equal(0);
    chai.expect(learn([[200, 150]]).waitMs(1_000_000, 1, NOW_MS)).equal(0);
  });

  it('estimates the wait from the fastest prefill and all engines', () => {
    const backlog = learn([
      [1_000, 200],
      [10_000, 300],
      [10_000, 4_000],
    ]);
    const oneMs = backlog.waitMs(100_000, 1, NOW_MS);
    chai.expect(oneMs).within(3_000, 4_000);
    chai.expect(backlog.waitMs(100_000, 4, NOW_MS)).closeTo(oneMs / 4, 1e-9);
  });

  it('finds no scarcity after slow first samples on idle engines', () => {
    // The first prompts of a new instance are short or wait behind others, and
    // take five times their prefill time. Used as the engines' speed, this
    // raised the price of the capable model a hundredfold on idle engines, and
    // weak answers were returned for eight seconds.
    const backlog = learn([
      [1_100, 220],
      [9_000, 330],
    ]);
    const waitMs = backlog.waitMs(60_000, 8, NOW_MS);
    chai.expect(decisions.scarcityOfBacklog(waitMs, TARGET_MS)).equal(1);
  });

  it('forgets the waits of a burst in which the instance started', () => {
    // After a restart of all instances, one sees only prompts that wait behind
    // returning callers for ten times their prefill time. It then stopped using
    // the capable model, got no further samples, and returned weak answers for
    // the rest of the day.
    const backlog = learn([[9_000, 3_000]]);
    const priceAt = (nowMs: number) =>
      decisions.scarcityOfBacklog(backlog.waitMs(60_000, 8, nowMs), TARGET_MS);
    chai.expect(priceAt(NOW_MS)).greaterThan(5);
    chai.expect(priceAt(NOW_MS + 8_000)).equal(1);
  });

  const prices = [
    {name: 'no prompts wait', waitMs: 0, scarcity: 1},
    {name: 'the wait is a part of the target', waitMs: 800, scarcity: 1},
    {name: 'the wait equals the target', waitMs: 2_000, scarcity: 6.25},
  ];

  prices.forEach(({name, waitMs, scarcity}) => {
    it(`multiplies the capable price by ${scarcity} when ${name}`, () => {
      const found = decisions.scarcityOfBacklog(waitMs, TARGET_MS);
      chai.expect(found).closeTo(scarcity, 1e-9);
    });
  });
});
