import * as chai from 'chai';
import * as decisions from '../src/index.js';

const STEPS = [0.01, 0.02, 0.5, 1];

const createCounts = (
  requests: number,
  bad: number,
): decisions.VersionCounts => ({
  ...decisions.NO_COUNTS,
  requests,
  paced: 0,
  dragging: 0,
  rated: requests,
  bad,
});

const createInput = (
  evidence: decisions.EvidenceByInstance,
): decisions.RolloutInput => ({
  steps: STEPS,
  evidence,
  requestRate: 20,
  ratingDelay: 5,
});

const createEvidence = (newBad: number): decisions.RolloutEvidence => ({
  old: createCounts(8_000, 400),
  new: createCounts(2_000, newBad),
});

const evaluate = (
  state: decisions.RolloutState,
  evidence: decisions.EvidenceByInstance,
) => decisions.evaluateRollout(state, createInput(evidence));

describe('evaluateRollout', () => {
  const cases = [
    {name: 'advances an equally good version', bad: 100, kind: 'advance'},
    {name: 'advances a better version', bad: 20, kind: 'advance'},
    {name: 'stops a version three times as bad', bad: 300, kind: 'stop'},
  ];
  for (const {name, bad, kind} of cases) {
    it(name, () => {
      const start = decisions.createRolloutState();
      const {decision} = evaluate(start, {a: createEvidence(bad)});
      chai.expect(decision.kind).to.equal(kind);
    });
  }

  it('stops for errors that the ratings do not show', () => {
    const evidence = createEvidence(100);
    const failing = {...evidence, new: {...evidence.new, errors: 40}};
    const start = decisions.createRolloutState();
    const {decision} = evaluate(start, {a: failing});
    chai.expect(decision).to.include({kind: 'stop', reason: 'errors'});
  });

  it('keeps a stopped version stopped', () => {
    const start = decisions.createRolloutState();
    const stopped = evaluate(start, {a: createEvidence(300)}).state;
    const {decision} = evaluate(stopped, {b: createEvidence(10)});
    chai.expect(decision.kind).to.equal('stop');
  });

  // Each of seven instances has too few bad answers to stop the version.
  it('stops by the sum of evidence that is too weak on each instance', () => {
    const part = {old: createCounts(100, 5), new: createCounts(20, 6)};
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const all = Object.fromEntries(ids.map(id => [id, part]));
    const start = decisions.createRolloutState();
    chai.expect(evaluate(start, {a: part}).decision.kind).not.to.equal('stop');
    chai.expect(evaluate(start, all).decision.kind).to.equal('stop');
  });

  // Another instance resumes from the stored JSON and gets the same counters
  // again, and older ones. Counting them twice would stop a version for bad
  // answers that were never given.
  it('counts no evidence twice when another instance resumes', () => {
    const early = {a: {old: createCounts(500, 20), new: createCounts(50, 5)}};
    const late = {a: {old: createCounts(900, 40), new: createCounts(90, 8)}};
    const first = evaluate(decisions.createRolloutState(), late).state;
    const json = JSON.parse(JSON.stringify(first)) as decisions.RolloutState;
    const again = evaluate(evaluate(json, late).state, early).state;
    chai.expect(again.ratings).to.deep.equal(first.ratings);
    chai.expect(again.rated).to.equal(first.rated);
  });

  it('bounds unrated answers at a high request rate before ratings come', () => {
    const {decision} = decisions.evaluateRollout(
      decisions.createRolloutState(),
      {
        ...createInput({}),
        requestRate: 15_000,
        ratingDelay: 30,
      },
    );
    chai.expect(decision.share * 15_000 * 30).to.be.at.most(20.001);
  });
});

describe('assignVersion', () => {
  const sessions = Array.from({length: 2_000}, (_, i) => `session-${i}`);

  it('assigns about the given share of sessions to the new version', () => {
    const assigned = sessions.filter(
      key => decisions.assignVersion('r', key, 0.25) === 'new',
    );
    chai.expect(assigned.length).to.be.within(430, 570);
  });

  it('keeps sessions on the new version as the share grows', () => {
    const moved = sessions.filter(
      key =>
        decisions.assignVersion('r', key, 0.1) === 'new' &&
        decisions.assignVersion('r', key, 0.2) === 'old',
    );
    chai.expect(moved).to.be.empty;
  });

  const cases = [
    {share: 0, version: 'old'},
    {share: 1, version: 'new'},
  ];
  for (const {share, version} of cases) {
    it(`assigns all sessions to the ${version} version at a share of ${share}`, () => {
      const versions = sessions.map(key =>
        decisions.assignVersion('r', key, share),
      );
      chai.expect(new Set(versions)).to.deep.equal(new Set([version]));
    });
  }
});

describe('allocateRatings', () => {
  for (const share of [0, 0.005, 0.02, 0.1, 0.5, 1]) {
    it(`stays within the budget at a share of ${share}`, () => {
      const ratings = decisions.allocateRatings(share, 0.1);
      const spent = ratings.new * share + ratings.old * (1 - share);
      chai.expect(spent).to.be.at.most(0.1 + 1e-9);
    });
  }
});
