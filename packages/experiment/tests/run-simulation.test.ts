import * as chai from 'chai';
import * as experiment from '@amaranthknot/experiment';

/** A small deployment whose few seconds are played in CI. */
const createDeployment = (
  overrides: Partial<experiment.Deployment> = {},
): experiment.Deployment => ({
  ...experiment.drawDeployment(3),
  instances: 3,
  durationMs: 3_000,
  ...overrides,
});

describe('a drawn deployment', () => {
  it('is the same for a seed, and another for another', () => {
    chai.expect(experiment.drawDeployment(5)).eql(experiment.drawDeployment(5));
    chai
      .expect(experiment.drawDeployment(5))
      .not.eql(experiment.drawDeployment(6));
  });

  it('gets the same requests however often they are drawn', () => {
    const deployment = experiment.drawDeployment(5);
    const drawn = experiment.drawRequests(deployment);
    chai.expect(drawn).eql(experiment.drawRequests(deployment));
    chai.expect(drawn).not.empty;
    const times = drawn.map(({atMs}) => atMs);
    chai.expect(times).eql([...times].sort((a, b) => a - b));
  });
});

describe('a played day', () => {
  for (const policy of experiment.POLICY_NAMES) {
    it(`comes out alike each time under ${policy}`, async () => {
      const deployment = createDeployment();
      const outcome = await experiment.runSimulation(deployment, policy);
      chai.expect(outcome.requests).above(10);
      chai.expect(outcome.earned).within(0, outcome.owed);
      chai
        .expect(await experiment.runSimulation(deployment, policy))
        .eql(outcome);
    });
  }

  it('has fewer weak answers, at a price, with the capable model', async () => {
    const deployment = createDeployment();
    const cheap = await experiment.runSimulation(deployment, 'cheap_only');
    const capable = await experiment.runSimulation(deployment, 'capable_only');
    chai.expect(capable.weak).below(cheap.weak / 2);
    chai.expect(capable.spent).above(cheap.spent);
  });
});

const createDay = (
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

describe('a comparison of policies', () => {
  const found = experiment.comparePolicies(
    [
      createDay(1, 'full', 0.9),
      createDay(2, 'full', 0.8),
      createDay(1, 'random', 0.6),
      createDay(2, 'random', 0.9),
    ],
    'full',
  );
  const random = found.find(({policy}) => policy === 'random');

  it('goes by what is earned less what models cost', () => {
    chai.expect(random?.mean).closeTo(0.65, 1e-9);
  });

  it('pairs the deployments', () => {
    chai.expect(random?.difference).closeTo(0.1, 1e-9);
    chai.expect(random?.isBeatenPart).equal(0.5);
    chai.expect(random?.worst.seed).equal(2);
  });

  it('says how sure the difference is', () => {
    // Of 0.3 and -0.1: their deviation 0.283 by the root of two, 1.96 times.
    chai.expect(random?.halfInterval).closeTo(0.392, 0.001);
  });
});
