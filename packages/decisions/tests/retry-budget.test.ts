import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const countRetries = (
  budget: decisions.RetryBudget,
  target: string,
): number => {
  let retries = 0;
  while (budget.tryRetry(target)) {
    retries++;
  }
  return retries;
};

describe('RetryBudget', () => {
  const cases = [
    {attempts: 0, retries: 1},
    {attempts: 12, retries: 2},
    {attempts: 100_000, retries: decisions.DEFAULT_RETRY_BURST},
  ];
  for (const {attempts, retries} of cases) {
    it(`allows ${retries} retries after ${attempts} attempts`, () => {
      const budget = new decisions.RetryBudget();
      for (let i = 0; i < attempts; i++) {
        budget.recordAttempt('upstream');
      }
      chai.expect(countRetries(budget, 'upstream')).equal(retries);
    });
  }

  // Unbounded retries double the load on a failing upstream, so that it stays
  // down after the cause of the failure is gone.
  it('adds at most a tenth when every attempt fails', () => {
    const budget = new decisions.RetryBudget();
    let retries = 0;
    for (let i = 0; i < 10_000; i++) {
      budget.recordAttempt('upstream');
      retries += budget.tryRetry('upstream') ? 1 : 0;
    }
    chai.expect(retries).within(890, 1000);
  });

  it('keeps a separate budget for each target', () => {
    const budget = new decisions.RetryBudget();
    for (let i = 0; i < 100; i++) {
      budget.recordAttempt('healthy');
    }
    chai.expect(countRetries(budget, 'failing')).equal(1);
    chai.expect(budget.tryRetry('healthy')).equal(true);
  });

  it('bounds the retries of all targets together', () => {
    const budget = new decisions.RetryBudget();
    let retries = 0;
    for (let i = 0; i < 300; i++) {
      const target = `upstream-${i % 100}`;
      budget.recordAttempt(target);
      retries += budget.tryRetry(target) ? 1 : 0;
    }
    chai.expect(retries).at.most(30);
  });
});
