import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

describe('limits that upstreams name', () => {
  it('are told when they are named, change by much, and are lifted', () => {
    const told: (number | undefined)[] = [];
    const limits = new decisions.RateLimits({
      now: () => 0,
      onChange: (_id, perSecond) => told.push(perSecond),
    });
    [undefined, 2, 2.1, 4, undefined, undefined].forEach(perSecond => {
      limits.note('a', perSecond);
    });
    chai.expect(told).eql([2, 4, undefined]);
    chai.expect(limits.find('a')).equal(undefined);
  });
});
