import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as decisions from '@amaranthknot/decisions';

const WINDOW_MS = 10_000;
const RATIO = 0.855;
const SERVICE = 'engines';
/** Time after which an allowance holds no more than 1, in ms. */
const ALLOWANCE_LIFE_MS = decisions.ALLOWANCE_LIFE_MS;

interface Setup {
  readonly budget: decisions.RepeatBudget;
  readonly fleet: decisions.FleetSends;
  readonly wait: (ms: number) => void;
  readonly now: () => number;
}

/** The budget of one of some instances; it hears of no other by itself. */
const setUp = (slack: number, instances = 1): Setup => {
  let nowMs = 0;
  const now = () => nowMs;
  const fleet = new decisions.FleetSends({
    self: 'i-1.1',
    windowMs: WINDOW_MS,
    now,
    isAlone: () => instances === 1,
  });
  const budget = new decisions.RepeatBudget({
    ratio: RATIO,
    windowMs: WINDOW_MS,
    now,
    fleet,
  });
  budget.setSlack({total: slack, share: slack / instances});
  return {
    budget,
    fleet,
    now,
    wait: ms => {
      nowMs += ms;
    },
  };
};

/** Tells the sends of all instances. */
const tell = (
  {fleet}: Setup,
  requests: number,
  repeats: number,
  knownForMs = WINDOW_MS,
): void => {
  fleet.applyTotals({
    knownForMs,
    totals: [{service: SERVICE, requests, repeats}],
  });
};

/** Takes repeats until one is refused. */
const countGranted = ({budget}: Setup): number => {
  let count = 0;
  while (count < 1_000 && budget.take(SERVICE).isGranted) {
    count++;
  }
  return count;
};

const countWithin = (times: readonly number[], endMs: number): number =>
  times.filter(atMs => atMs > endMs - WINDOW_MS && atMs <= endMs).length;

describe('RepeatBudget', () => {
  it('grants repeats for doubtful answers that come in clusters', () => {
    // One of 88 instances, with four requests a second. A token bucket capped
    // at its share of the slack, 2.3, refused 68 of 136 repeats here.
    const setup = setUp(88 * 2.33, 88);
    const {budget, wait} = setup;
    const random = fakes.createRandom(4);
    let wanted = 0;
    let refused = 0;
    for (let second = 0; second < 100; second++) {
      const isDoubtful = random() < 0.4;
      tell(setup, 88 * 40, 0.4 * 88 * 40);
      for (let i = 0; i < 4; i++) {
        budget.recordRequest(SERVICE);
      }
      wait(500);
      for (let i = 0; i < 4 && isDoubtful; i++) {
        wanted++;
        refused += budget.take(SERVICE).isGranted ? 0 : 1;
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
      while (random() < 0.8 && budget.take(SERVICE).isGranted) {
        repeats.push(now());
      }
      wait(20);
    }
    for (const end of repeats) {
      const bound = slack + RATIO * countWithin(requests, end);
      chai.expect(countWithin(repeats, end)).at.most(bound);
    }
    chai.expect(repeats.length).above(requests.length / 2);
  });

  it('keeps the reserve that is asked for', () => {
    const {budget} = setUp(40);
    for (let i = 0; i < 100; i++) {
      budget.recordRequest(SERVICE);
    }
    while (budget.hasRepeat(SERVICE, 0.25)) {
      budget.take(SERVICE);
    }
    // A quarter of what an allowance holds, which is half of the slack.
    for (let i = 0; i < 5; i++) {
      chai.expect(budget.take(SERVICE).isGranted).equal(true);
    }
  });

  it('counts each service separately', () => {
    const {budget} = setUp(1, 6);
    budget.recordRequest('a');
    budget.recordRequest('b');
    chai.expect(budget.take('a').isGranted).equal(true);
    chai.expect(budget.take('a').isGranted).equal(false);
    chai.expect(budget.take('b').isGranted).equal(true);
  });

  it('grants no more than the limit while no instance hears of another', () => {
    // Guards against what instances have saved while their callers move.
    const instances = 6;
    const slack = 49;
    const random = fakes.createRandom(11);
    const setups = Array.from({length: instances}, () =>
      setUp(slack, instances),
    );
    const requests: number[] = [];
    const repeats: number[] = [];
    for (let step = 0; step < 6_000; step++) {
      const group = Math.floor(step / 450) % 3;
      const used = setups.slice(2 * group, 2 * group + 2);
      used.forEach(({budget, now}) => {
        if (random() < 0.5) {
          budget.recordRequest(SERVICE);
          requests.push(now());
        }
        const isFailing = step % 1_500 > 700;
        while (isFailing && budget.take(SERVICE).isGranted) {
          repeats.push(now());
        }
      });
      setups.forEach(({wait}) => {
        wait(10);
      });
    }
    for (const end of repeats) {
      const bound = slack + RATIO * countWithin(requests, end);
      chai.expect(countWithin(repeats, end)).at.most(bound);
    }
    chai.expect(repeats.length).above(requests.length / 3);
  });

  it('takes nothing beyond its allowance once the fleet is at its limit', () => {
    // Guards against callers who bring their instance's unused budget along.
    const setup = setUp(49, 6);
    for (let i = 0; i < 100; i++) {
      setup.budget.recordRequest(SERVICE);
    }
    setup.wait(ALLOWANCE_LIFE_MS);
    tell(setup, 400, Math.ceil(49 + RATIO * 500));
    chai.expect(countGranted(setup)).equal(1);
  });

  it('takes of what all leave unused as large a part as it has of requests', () => {
    const setup = setUp(200, 6);
    for (let second = 1; second <= 10; second++) {
      for (let i = 0; i < 10; i++) {
        setup.budget.recordRequest(SERVICE);
      }
      setup.wait(1_000);
      tell(setup, 100 * second, 50 * second);
    }
    // A tenth of the limit, 200 + 0.855 * 1,000, less half of the slack, the 50
    // of the last second, and 0.684 * 1,000 that the allowances may grant.
    chai.expect(countGranted(setup)).within(21, 22);
  });

  it('takes nothing of it once it has not heard of others for long', () => {
    const setup = setUp(6, 6);
    setup.wait(WINDOW_MS);
    for (let i = 0; i < 10; i++) {
      setup.budget.recordRequest(SERVICE);
    }
    setup.wait(ALLOWANCE_LIFE_MS);
    tell(setup, 900, 0);
    chai.expect(setup.budget.take(SERVICE).budget).equal('own');
    const unused = setup.budget.take(SERVICE);
    chai.expect(unused).include({isGranted: true, budget: 'unused'});
    setup.wait(2_000);
    const refused = setup.budget.take(SERVICE);
    chai.expect(refused).include({isGranted: false, budget: 'unused'});
  });

  it('takes only what all leave of the allowances after a common start', () => {
    // Guards against a fleet whose instances are all killed after a burst.
    const setup = setUp(40, 4);
    for (let i = 0; i < 100; i++) {
      setup.budget.recordRequest(SERVICE);
    }
    setup.wait(ALLOWANCE_LIFE_MS);
    tell(setup, 300, 200, 3_000);
    // A quarter of half of the slack and of 0.684 * 400 - 200.
    chai.expect(countGranted(setup)).within(23, 24);
  });

  it('leaves in later windows what the allowances will grant', () => {
    // Guards against a burst that is followed by ten seconds of allowances.
    const setup = setUp(0, 2);
    const {budget, wait} = setup;
    for (let i = 0; i < 100; i++) {
      budget.recordRequest(SERVICE);
      wait(100);
    }
    tell(setup, 0, 0);
    // 0.855 * 100, less 0.684 * 100 that the window to come may need.
    chai.expect(countGranted(setup)).equal(17);
  });

  it('keeps its own window alone among instances that tell no sends', () => {
    // Guards against refused repeats while a fleet is rolled out.
    const setup = setUp(49, 88);
    setup.fleet.applyTotals(undefined);
    for (let i = 0; i < 40; i++) {
      setup.budget.recordRequest(SERVICE);
    }
    chai.expect(countGranted(setup)).equal(Math.floor(49 / 88 + RATIO * 40));
  });
});
