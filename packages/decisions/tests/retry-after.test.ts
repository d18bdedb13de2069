import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

describe('drawRetryAfterMs', () => {
  const cases: readonly {
    readonly random: number;
    readonly expected: number;
  }[] = [
    {random: 0, expected: 3_000},
    {random: 0.5, expected: 3_375},
    {random: 0.75, expected: 3_562.5},
  ];

  cases.forEach(({random, expected}) => {
    it(`draws ${expected} ms for a wait of 3000 ms and ${random}`, () => {
      const drawn = decisions.drawRetryAfterMs(3_000, () => random);
      chai.expect(drawn).equal(expected);
    });
  });
});
