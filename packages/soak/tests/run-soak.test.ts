import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as soak from '@amaranthknot/soak';

describe('soak', () => {
  it('draws the same faults from the same seed, others from another', () => {
    const draw = (seed: number) =>
      soak.drawFaults(fakes.createRandom(seed), 8_000);
    chai.expect(draw(7)).eql(draw(7));
    chai.expect(draw(7)).not.eql(draw(8));
  });

  it('violates no `always` invariant with three processes', async () => {
    // Under any faults a request that is not idempotent runs at most once,
    // answers are complete and belong to their requests, and a request that was
    // refused as not run did not run.
    const result = await soak.runSoak({
      seed: 1,
      instances: 3,
      upstreams: 3,
      durationMs: 3_000,
    });
    const violations = result.violations.filter(
      ({holds}) => holds === 'always',
    );
    chai.expect(violations).eql([]);
    chai.expect(result.served).above(0);
  });

  it('sends nothing on for callers that leave while an instance is paused', async () => {
    // Guards against work for nobody: requests and the ends of their
    // connections lie unread side by side when the process goes on.
    const result = await soak.runSoak({
      seed: 1,
      instances: 3,
      upstreams: 3,
      durationMs: 5_000,
      only: 'leaving_callers',
    });
    const violations = result.violations.filter(
      ({invariant}) =>
        invariant === 'nothing is sent on for callers that have left',
    );
    chai.expect(result.faults.length).above(0);
    chai.expect(violations).eql([]);
  });

  it('sends no more again than all instances may while callers move', async () => {
    // Guards against budgets that each instance keeps, and their sum does not.
    const result = await soak.runSoak({
      seed: 1,
      instances: 6,
      upstreams: 8,
      durationMs: 20_000,
      only: 'repeats',
    });
    const violations = result.violations.filter(
      ({invariant}) =>
        invariant === 'all instances together repeat no more than is allowed',
    );
    chai.expect(result.faults.length).above(1);
    chai.expect(violations).eql([]);
  });
});
