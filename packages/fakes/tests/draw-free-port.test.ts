import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';

/** Enough that two of 15,000 would be equal in nearly every run. */
const DRAWS = 1_000;

describe('drawFreePort', () => {
  it('draws no port twice, although nothing listens on them yet', async () => {
    // Guards against two servers of one test that are given the same port.
    const ports = await Promise.all(
      Array.from({length: DRAWS}, () => fakes.drawFreePort()),
    );
    chai.expect(new Set(ports).size).equal(DRAWS);
  });
});
