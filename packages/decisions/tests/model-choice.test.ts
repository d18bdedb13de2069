import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const createProfile = (
  promptTokens: number,
  maxTokens: number,
  expectedTokens: number,
): decisions.RequestProfile => ({
  promptTokens,
  maxTokens,
  expectedTokens,
  capablePrice: 0.26,
});

/** Typical requests: drafts, summaries and checks. */
const DRAFT = createProfile(12_000, 1_122, 384);
const SUMMARY = createProfile(826, 954, 294);
const CHECK = createProfile(2_368, 90, 24);

describe('shouldEscalate', () => {
  const cases: readonly {
    readonly name: string;
    readonly profile: decisions.RequestProfile;
    readonly confidence: number;
    readonly scarcity: number;
    readonly escalates: boolean;
  }[] = [
    {
      name: 'accepts a summary with high confidence',
      profile: SUMMARY,
      confidence: 90,
      scarcity: 1,
      escalates: false,
    },
    {
      name: 'escalates a summary with medium confidence',
      profile: SUMMARY,
      confidence: 55,
      scarcity: 1,
      escalates: true,
    },
    {
      name: 'accepts a check with medium confidence, as it is not worth the price',
      profile: CHECK,
      confidence: 55,
      scarcity: 1,
      escalates: false,
    },
    {
      name: 'escalates a check with low confidence',
      profile: CHECK,
      confidence: 30,
      scarcity: 1,
      escalates: true,
    },
    {
      name: 'accepts a draft with medium confidence when capable engines are full',
      profile: DRAFT,
      confidence: 54,
      scarcity: 4,
      escalates: false,
    },
  ];

  cases.forEach(({name, profile, confidence, scarcity, escalates}) => {
    it(name, () => {
      const found = decisions.shouldEscalate(confidence, profile, scarcity);
      chai.expect(found).equal(escalates);
    });
  });

  it('estimates weak answers to be less likely at higher confidence', () => {
    const chances = [0, 30, 50, 70, 100].map(decisions.weakAnswerProbability);
    chai.expect(chances).eql([...chances].sort((a, b) => b - a));
    chai.expect(decisions.weakAnswerProbability(50)).closeTo(0.5, 1e-9);
  });
});
