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

describe('backlog of prompts', () => {
  it('is nothing while the speed of engines is not known', () => {
    chai.expect(learn([]).waitMs(1_000_000, 1, NOW_MS)).equal(0);
    chai.expect(learn([[200, 150]]).waitMs(1_000_000, 1, NOW_MS)).equal(0);
  });

  it('is told by the fastest read of late, shared by all engines', () => {
    const backlog = learn([
      [1_000, 200],
      [10_000, 300],
      [10_000, 4_000],
    ]);
    const oneMs = backlog.waitMs(100_000, 1, NOW_MS);
    chai.expect(oneMs).within(3_000, 4_000);
    chai.expect(backlog.waitMs(100_000, 4, NOW_MS)).closeTo(oneMs / 4, 1e-9);
  });

  it('does not call engines full whose first answers came slowly', () => {
    // An instance has just started. The first prompts that it sends are short
    // or meet others, and take five times as long as reading does. Taken for
    // the engines' speed, that made the capable model a hundred times as dear
    // while nobody waited: for eight seconds weak answers were passed on.
    const backlog = learn([
      [1_100, 220],
      [9_000, 330],
    ]);
    const waitMs = backlog.waitMs(60_000, 8, NOW_MS);
    chai.expect(decisions.scarcityOfBacklog(waitMs, TARGET_MS)).equal(1);
  });

  it('trusts engines again after a crowd in which it started', () => {
    // All instances are killed and start again. One sees nothing but prompts
    // that wait behind the callers who come back: ten times as long as reading
    // takes. It asked the capable model for nothing any more, so that it saw
    // no prompt read, and passed weak answers on for the rest of the day.
    const backlog = learn([[9_000, 3_000]]);
    const priceAt = (nowMs: number) =>
      decisions.scarcityOfBacklog(backlog.waitMs(60_000, 8, nowMs), TARGET_MS);
    chai.expect(priceAt(NOW_MS)).greaterThan(5);
    chai.expect(priceAt(NOW_MS + 8_000)).equal(1);
  });

  const prices = [
    {name: 'no prompts wait', waitMs: 0, scarcity: 1},
    {name: 'they take a part of the target', waitMs: 800, scarcity: 1},
    {name: 'they take all of it', waitMs: 2_000, scarcity: 6.25},
  ];

  prices.forEach(({name, waitMs, scarcity}) => {
    it(`makes the capable model ${scarcity} times as dear when ${name}`, () => {
      const found = decisions.scarcityOfBacklog(waitMs, TARGET_MS);
      chai.expect(found).closeTo(scarcity, 1e-9);
    });
  });
});
