import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

interface Setup {
  readonly limits: decisions.RateLimits;
  readonly wait: (ms: number) => void;
  /** Limits as they were told to be new. */
  readonly told: (number | undefined)[];
}

const setUp = (instances: readonly string[] = ['a']): Setup => {
  let nowMs = 0;
  const told: (number | undefined)[] = [];
  const limits = new decisions.RateLimits({
    now: () => nowMs,
    self: 'a',
    findInstances: () => instances,
    onChange: (_id, perSecond) => told.push(perSecond),
  });
  return {
    limits,
    told,
    wait: ms => {
      nowMs += ms;
    },
  };
};

/** Requests that may be sent at once. */
const countFree = ({limits}: Setup, id: string): number => {
  let count = 0;
  while (limits.maySend(id) && count < 1_000) {
    limits.recordSend(id);
    count++;
  }
  return count;
};

describe('limits that upstreams name', () => {
  it('are told when they are named, change by much, and are lifted', () => {
    const {limits, told} = setUp();
    [undefined, 2, 2.1, 4, undefined, undefined].forEach(perSecond => {
      limits.record('u', perSecond);
    });
    chai.expect(told).eql([2, 4, undefined]);
    chai.expect(limits.find('u')).equal(undefined);
  });

  it('do not bind upstreams that name none', () => {
    const setup = setUp();
    setup.limits.record('u', 1);
    chai.expect(countFree(setup, 'other')).equal(1_000);
  });

  it('are shared out among all instances', () => {
    const setup = setUp(['a', 'b', 'c', 'd']);
    setup.limits.record('u', 10);
    chai.expect(countFree(setup, 'u')).equal(10);
    setup.wait(4_000);
    chai.expect(countFree(setup, 'u')).equal(10);
  });

  it('let one request pass now and then however low they are', () => {
    // Only an answer says that a limit is lifted.
    const setup = setUp();
    setup.limits.record('u', 0);
    chai.expect(countFree(setup, 'u')).equal(1);
    setup.wait(9_000);
    chai.expect(countFree(setup, 'u')).equal(0);
    setup.wait(1_000);
    chai.expect(countFree(setup, 'u')).equal(1);
  });

  it('count what was sent before they were named', () => {
    const setup = setUp();
    Array.from({length: 3}, () => {
      setup.limits.recordSend('u');
    });
    setup.limits.record('u', 1);
    chai.expect(countFree(setup, 'u')).equal(1);
  });

  it('are known from another instance, with the age of its word', () => {
    const {limits, wait} = setUp();
    wait(5_000);
    limits.merge([{id: 'u', perSecond: 3, ageMs: 400}]);
    wait(100);
    chai.expect(limits.report()).eql([{id: 'u', perSecond: 3, ageMs: 500}]);
  });

  it('stay lifted before word that is older', () => {
    const {limits, wait} = setUp();
    limits.record('u', 3);
    wait(5_000);
    limits.record('u', undefined);
    wait(200);
    limits.merge([{id: 'u', perSecond: 3, ageMs: 300}]);
    chai.expect(limits.find('u')).equal(undefined);
  });

  it('are told while they are news, and now and then afterwards', () => {
    const {limits, wait} = setUp();
    const isTold = () => limits.report().length === 1;
    wait(5_000);
    limits.record('u', 3);
    chai.expect(isTold()).equal(true);
    wait(4_000);
    limits.record('u', 3.1);
    chai.expect(isTold()).equal(false);
    wait(11_500);
    chai.expect(isTold()).equal(true);
  });

  it('are forgotten when nobody has heard of them for long', () => {
    const {limits, wait} = setUp();
    limits.record('u', 3);
    wait(30_000);
    chai.expect(limits.find('u')).equal(3);
    wait(31_000);
    chai.expect(limits.find('u')).equal(undefined);
  });

  it('are forgotten with their upstream', () => {
    const {limits} = setUp();
    limits.record('u', 3);
    limits.retain(new Set());
    chai.expect(limits.find('u')).equal(undefined);
  });
});
