import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as decisions from '@amaranthknot/decisions';

const WINDOW_MS = 10_000;
const RATIO = 0.855;
const SERVICE = 'engines';

interface Setup {
  readonly budget: decisions.RepeatBudget;
  readonly wait: (ms: number) => void;
  readonly now: () => number;
}

const setUp = (slack: number): Setup => {
  let nowMs = 0;
  const now = () => nowMs;
  const budget = new decisions.RepeatBudget({
    ratio: RATIO,
    windowMs: WINDOW_MS,
    now,
  });
  budget.setSlack(slack);
  return {
    budget,
    now,
    wait: ms => {
      nowMs += ms;
    },
  };
};

describe('RepeatBudget', () => {
  it('grants repeats for doubtful answers that come in clusters', () => {
    // One of 88 instances, with four requests a second. A token bucket capped
    // at its share of the slack, 2.3, refused 68 of 136 repeats here.
    const {budget, wait} = setUp(2.33);
    const random = fakes.createRandom(4);
    let wanted = 0;
    let refused = 0;
    for (let second = 0; second < 100; second++) {
      const isDoubtful = random() < 0.4;
      for (let i = 0; i < 4; i++) {
        budget.recordRequest(SERVICE);
      }
      wait(500);
      for (let i = 0; i < 4 && isDoubtful; i++) {
        wanted++;
        refused += budget.take(SERVICE) ? 0 : 1;
      }
      wait(500);
    }
    chai.expect(wanted).above(100);
    chai.expect(refused).equal(0);
  });

  it('stays within the limit in every window, whatever the demand', () => {
    // Upstreams fail one after the other, and every request needs repeats.
    const slack = 8;
    const {budget, wait, now} = setUp(slack);
    const random = fakes.createRandom(7);
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let step = 0; step < 6_000; step++) {
      const isBusy = Math.floor(step / 600) % 2 === 0;
      if (random() < (isBusy ? 0.5 : 0.02)) {
        budget.recordRequest(SERVICE);
        requests.push(now());
      }
      while (random() < 0.8 && budget.take(SERVICE)) {
        repeats.push(now());
      }
      wait(20);
    }
    const countWithin = (times: readonly number[], end: number) =>
      times.filter(at => at > end - WINDOW_MS && at <= end).length;
    for (const end of repeats) {
      const bound = slack + RATIO * countWithin(requests, end);
      chai.expect(countWithin(repeats, end)).at.most(bound);
    }
    chai.expect(repeats.length).above(requests.length / 2);
  });

  it('keeps the reserve that is asked for', () => {
    const {budget} = setUp(4);
    chai.expect(budget.hasRepeat(SERVICE, 0.25)).equal(true);
    budget.take(SERVICE);
    budget.take(SERVICE);
    chai.expect(budget.hasRepeat(SERVICE, 0.25)).equal(true);
    budget.take(SERVICE);
    chai.expect(budget.hasRepeat(SERVICE, 0.25)).equal(false);
    chai.expect(budget.hasRepeat(SERVICE)).equal(true);
  });

  it('counts each service separately', () => {
    const {budget} = setUp(1);
    chai.expect(budget.take('a')).equal(true);
    chai.expect(budget.take('a')).equal(false);
    chai.expect(budget.take('b')).equal(true);
  });
});
