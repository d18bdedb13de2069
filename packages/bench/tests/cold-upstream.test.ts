import * as chai from 'chai';
import * as coldUpstream from '../src/models/cold-upstream.js';
import * as seededRandom from '@amaranthknot/fakes';

const SEEDS = [1, 2, 3, 4, 5];

const createScenario = (
  viewLagMs: number,
  timing: Partial<coldUpstream.WarmUpScenario['timing']> = {},
): coldUpstream.WarmUpScenario => ({
  instances: 7,
  curve: {coldSlots: 4, fullSlots: 64, warmMs: 60_000},
  timing: {termMs: 1_000, drainMs: 5_000, viewLagMs: 3_000, ...timing},
  workMs: 800,
  replaceEveryMs: 2_000,
  viewLagMs,
  lost: 0.02,
  lengthMs: 90_000,
});

const findMaxLoadRatio = (scenario: coldUpstream.WarmUpScenario): number =>
  Math.max(
    ...SEEDS.map(
      seed =>
        coldUpstream.runWarmUp(scenario, seededRandom.createRandom(seed))
          .maxLoadRatio,
    ),
  );

describe('runWarmUp with instances whose views differ', () => {
  // Instances are replaced every 2 s and learn of it up to 3 s late, so that two
  // may believe themselves the issuer. Together they must not overload the
  // upstream.
  it('keeps the work of all instances within the capacity of the upstream', () => {
    chai.expect(findMaxLoadRatio(createScenario(3_000))).to.be.at.most(1);
  });

  // Injected fault: views lag by more than the timing timing, and a new issuer
  // doesn't wait for the grants of the previous one to expire.
  it('detects overload when new issuers do not wait', () => {
    const faulty = createScenario(3_000, {viewLagMs: 0, drainMs: 0});
    chai.expect(findMaxLoadRatio(faulty)).to.be.above(1);
  });
});
