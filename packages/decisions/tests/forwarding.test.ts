import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as prand from 'pure-rand/generator/xoroshiro128plus';
import * as distribution from 'pure-rand/distribution/uniformFloat64';

const createRandom = (seed: number): (() => number) => {
  const generator = prand.xoroshiro128plus(seed);
  return () => distribution.uniformFloat64(generator);
};

const createCandidates = (
  zones: readonly string[],
): {
  readonly id: string;
  readonly zone: string;
  readonly cores: number;
  inFlight: number;
}[] =>
  zones.map((zone, index) => ({id: `i-${index}`, zone, cores: 1, inFlight: 0}));

describe('chooseForwardPeer', () => {
  it('prefers the own zone while it is not loaded', () => {
    const candidates = createCandidates(['a', 'a', 'b', 'b', 'c']);
    const random = createRandom(1);
    for (let i = 0; i < 20; i++) {
      const chosen = decisions.chooseForwardPeer(candidates, 'a', random);
      chai.expect(chosen?.zone).equal('a');
    }
  });

  it('spreads a burst over the instances that have links', () => {
    // Guards against all forwarded requests at the only instance of the zone.
    const candidates = createCandidates(['a', 'b', 'b', 'c', 'c']);
    const random = createRandom(1);
    for (let i = 0; i < 100; i++) {
      const chosen = decisions.chooseForwardPeer(candidates, 'a', random);
      if (chosen) {
        chosen.inFlight++;
      }
    }
    const loads = candidates.map(({inFlight}) => inFlight);
    chai.expect(Math.max(...loads)).most(2 * (100 / candidates.length));
    chai.expect(Math.min(...loads)).least(0.5 * (100 / candidates.length));
  });

  it('finds none without candidates', () => {
    const chosen = decisions.chooseForwardPeer(
      createCandidates([]),
      'a',
      () => 0,
    );
    chai.expect(chosen).equal(undefined);
  });
});

describe('ForwardAdmission', () => {
  const record = (samples: readonly number[]): decisions.ForwardAdmission => {
    const admission = new decisions.ForwardAdmission();
    samples.forEach(sample => {
      admission.record(sample);
    });
    return admission;
  };

  const cases: readonly {
    readonly name: string;
    readonly samples: readonly number[];
    readonly hasRoom: boolean;
  }[] = [
    {name: 'an idle instance', samples: [], hasRoom: true},
    {name: 'one busy moment', samples: [0.1, 0.1, 1], hasRoom: true},
    {name: 'a second of load', samples: [1, 1, 1, 1, 1], hasRoom: false},
    {
      name: 'load that has ended',
      samples: [1, 1, 1, 1, 1, 0, 0],
      hasRoom: true,
    },
  ];

  cases.forEach(({name, samples, hasRoom}) => {
    it(`${hasRoom ? 'takes' : 'refuses'} forwarded requests: ${name}`, () => {
      chai.expect(record(samples).hasRoom()).equal(hasRoom);
    });
  });
});
