import * as chai from 'chai';
import * as distribution from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';
import * as decisions from '../src/index.js';

const STAGES = [
  {model: 'small', cost: 1},
  {model: 'large', cost: 20},
];

const createRandom = (seed: number): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(source);
};

interface Served {
  readonly good: number;
  readonly cost: number;
}

/** Serves requests whose small model passes with the given chance. */
const serve = (
  policy: decisions.CascadePolicy,
  count: number,
  smallPass: number,
  random: () => number,
  rate: (isGood: boolean) => number = Number,
): Served => {
  let good = 0;
  let cost = 0;
  for (let i = 0; i < count; i++) {
    const request = {workspace: 'w', task: 't', stages: STAGES, target: 0.9};
    const plan = policy.choose(request, random);
    for (let stage = plan.startStage; ; stage++) {
      const model = STAGES[stage]?.model ?? '';
      const isGood = random() < (stage === 0 ? smallPass : 0.98);
      const score = isGood ? 0.6 + 0.4 * random() : 0.7 * random();
      const escalated = stage > plan.startStage;
      const answer = {workspace: 'w', task: 't', model, escalated, score};
      cost += STAGES[stage]?.cost ?? 0;
      policy.observeAnswer(answer);
      if (decisions.nextStep(plan, stage, score).kind === 'escalate') {
        continue;
      }
      good += Number(isGood);
      if (random() < 0.1) {
        policy.observeRating({...answer, rating: rate(isGood)});
      }
      break;
    }
  }
  return {good: good / count, cost: cost / count};
};

describe('cascade policy', () => {
  const cases = [
    {name: 'a small model that always passes', smallPass: 0.99, mostCost: 5},
    {name: 'a small model that often passes', smallPass: 0.7, mostCost: 12},
    {name: 'a small model that never passes', smallPass: 0.02, mostCost: 22},
  ];
  for (const {name, smallPass, mostCost} of cases) {
    it(`meets the target at little cost with ${name}`, () => {
      const random = createRandom(1);
      const policy = new decisions.CascadePolicy();
      serve(policy, 10_000, smallPass, random);
      const {good, cost} = serve(policy, 20_000, smallPass, random);
      chai.expect(good).to.be.at.least(0.895);
      chai.expect(cost).to.be.at.most(mostCost);
    });
  }

  // A caller gets bad answers at the old price: the small model has turned
  // bad, its ratings come for a tenth of the answers. The policy has to leave
  // it within some thousand requests.
  it('follows a small model that turns bad', () => {
    const random = createRandom(2);
    const policy = new decisions.CascadePolicy();
    serve(policy, 20_000, 0.95, random);
    serve(policy, 8_000, 0.3, random);
    const {good} = serve(policy, 10_000, 0.3, random);
    chai.expect(good).to.be.at.least(0.89);
  });

  // Planted fault: a rating service that calls every answer good. The check
  // above has to see the quality fall, or it proves nothing.
  it('is seen to fall short when ratings say good to everything', () => {
    const random = createRandom(2);
    const policy = new decisions.CascadePolicy();
    const {good} = serve(policy, 30_000, 0.3, random, () => 1);
    chai.expect(good).to.be.below(0.89);
  });

  it('resumes from the JSON of a snapshot', () => {
    const policy = new decisions.CascadePolicy();
    serve(policy, 5_000, 0.95, createRandom(3));
    const json = JSON.stringify(policy.snapshot());
    const other = new decisions.CascadePolicy();
    other.restore(JSON.parse(json) as decisions.CascadeSnapshot);
    chai.expect(other.snapshot()).to.deep.equal(JSON.parse(json));
  });

  it('bounds what callers can make it remember', () => {
    const policy = new decisions.CascadePolicy();
    for (let i = 0; i < 1_000; i++) {
      const task = `task-${i}`;
      const answer = {workspace: 'w', task, model: 'm', escalated: false};
      policy.observeAnswer({...answer, score: 0.5});
    }
    chai.expect(policy.snapshot().stages).to.have.lengthOf.at.most(65);
  });
});

describe('nextStep', () => {
  const plan: decisions.CascadePlan = {
    startStage: 0,
    acceptThresholds: [0.7, 2, 0],
    acceptUnscored: [false, true, true],
  };
  const cases = [
    {stage: 0, score: 0.7, expected: 'accept'},
    {stage: 0, score: 0.69, expected: 'escalate'},
    {stage: 0, score: undefined, expected: 'escalate'},
    {stage: 1, score: 1, expected: 'escalate'},
    {stage: 1, score: undefined, expected: 'accept'},
    {stage: 2, score: 0, expected: 'accept'},
  ];
  for (const {stage, score, expected} of cases) {
    it(`${expected}s score ${score ?? 'none'} at stage ${stage}`, () => {
      const step = decisions.nextStep(plan, stage, score);
      chai.expect(step.kind).to.equal(expected);
    });
  }
});
