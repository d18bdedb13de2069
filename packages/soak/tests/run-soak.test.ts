import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as soak from '@amaranthknot/soak';

describe('fault soak', () => {
  it('draws the same faults from the same seed', () => {
    const draw = (seed: number) =>
      soak.drawFaults(fakes.createRandom(seed), 8_000);
    chai.expect(draw(7)).eql(draw(7));
    chai.expect(draw(7)).not.eql(draw(8));
  });

  it('keeps its promises over three processes and one short seed', async () => {
    // Whatever fails, a swap runs at most once, an answer is whole and its
    // own, and a refusal that says not run is true.
    const result = await soak.runSoak({
      seed: 1,
      instances: 3,
      upstreams: 3,
      durationMs: 3_000,
    });
    const broken = result.violations.filter(({holds}) => holds === 'always');
    chai.expect(broken).eql([]);
    chai.expect(result.served).above(0);
  });
});
