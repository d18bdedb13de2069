import * as chai from 'chai';
import * as experiment from '@amaranthknot/experiment';

/** A deployment small enough to simulate in CI. */
const createDeployment = (
  overrides: Partial<experiment.Deployment> = {},
): experiment.Deployment => ({
  ...experiment.drawDeployment(3),
  instances: 3,
  durationMs: 3_000,
  ...overrides,
});

describe('drawDeployment and drawRequests', () => {
  it('draw the same deployment from the same seed, others from another', () => {
    chai.expect(experiment.drawDeployment(5)).eql(experiment.drawDeployment(5));
    chai
      .expect(experiment.drawDeployment(5))
      .not.eql(experiment.drawDeployment(6));
  });

  it('draw the same requests each time, in order of time', () => {
    const deployment = experiment.drawDeployment(5);
    const drawn = experiment.drawRequests(deployment);
    chai.expect(drawn).eql(experiment.drawRequests(deployment));
    chai.expect(drawn).not.empty;
    const times = drawn.map(({atMs}) => atMs);
    chai.expect(times).eql([...times].sort((a, b) => a - b));
  });
});

describe('runSimulation', () => {
  for (const policy of experiment.POLICY_NAMES) {
    it(`has the same outcome each time under ${policy}`, async () => {
      const deployment = createDeployment();
      const outcome = await experiment.runSimulation(deployment, policy);
      chai.expect(outcome.requests).above(10);
      chai.expect(outcome.earned).within(0, outcome.owed);
      chai
        .expect(await experiment.runSimulation(deployment, policy))
        .eql(outcome);
    });
  }

  it('gives fewer weak answers for more cost with capable_only', async () => {
    const deployment = createDeployment();
    const cheap = await experiment.runSimulation(deployment, 'cheap_only');
    const capable = await experiment.runSimulation(deployment, 'capable_only');
    chai.expect(capable.weak).below(cheap.weak / 2);
    chai.expect(capable.spent).above(cheap.spent);
  });
});

const createResult = (
  seed: number,
  policy: experiment.PolicyName,
  earned: number,
): experiment.SimulationResult => ({
  seed,
  policy,
  outcome: {
    requests: 1,
    owed: 1,
    earned,
    spent: 0.1,
    late: 0,
    lost: 0,
    weak: 0,
  },
});

describe('comparePolicies', () => {
  const found = experiment.comparePolicies(
    [
      createResult(1, 'full', 0.9),
      createResult(2, 'full', 0.8),
      createResult(1, 'random', 0.6),
      createResult(2, 'random', 0.9),
    ],
    'full',
  );
  const random = found.find(({policy}) => policy === 'random');

  it('uses what was earned less what was spent', () => {
    chai.expect(random?.mean).closeTo(0.65, 1e-9);
  });

  it('compares policies on the same deployments', () => {
    chai.expect(random?.difference).closeTo(0.1, 1e-9);
    chai.expect(random?.isBeatenPart).equal(0.5);
    chai.expect(random?.worst.seed).equal(2);
  });

  it('gives the 95 % confidence interval of the difference', () => {
    // Differences 0.3 and -0.1: 1.96 * 0.283 (their deviation) / sqrt(2).
    chai.expect(random?.halfInterval).closeTo(0.392, 0.001);
  });
});
