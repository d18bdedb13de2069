import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const recordMany = (
  estimates: decisions.LatencyEstimates,
  latencyMs: number,
): void => {
  for (let i = 0; i < 200; i++) {
    estimates.record('kind', latencyMs);
  }
};

describe('LatencyEstimates', () => {
  it('hedges after three times the typical latency', () => {
    const estimates = new decisions.LatencyEstimates();
    recordMany(estimates, 40);
    chai.expect(estimates.hedgeDelayMs('kind', 300)).closeTo(120, 5);
  });

  it('does not hedge before the minimum fraction of the target', () => {
    const estimates = new decisions.LatencyEstimates();
    recordMany(estimates, 1);
    chai.expect(estimates.hedgeDelayMs('kind', 200)).equal(60);
  });

  it('hedges later when all answers are slow', () => {
    // When every upstream is slow, hedging early would double the load that
    // made them slow.
    const estimates = new decisions.LatencyEstimates();
    recordMany(estimates, 500);
    chai.expect(estimates.hedgeDelayMs('kind', 200)).equal(120);
  });
});

describe('SlidingCount', () => {
  it('counts the events within the window', () => {
    const count = new decisions.SlidingCount(1_000);
    [0, 100, 900, 1_050].forEach(atMs => {
      count.add(atMs);
    });
    chai.expect(count.count(1_050)).equal(3);
    chai.expect(count.count(1_150)).equal(2);
    chai.expect(count.count(5_000)).equal(0);
  });
});
