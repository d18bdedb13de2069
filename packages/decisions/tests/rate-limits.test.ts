import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

interface Setup {
  readonly limits: decisions.RateLimits;
  readonly wait: (ms: number) => void;
  /** Arguments of the `onChange` calls so far. */
  readonly changes: (number | undefined)[];
}

/** Time after which the window before an instance's start is over, in ms. */
const WINDOW_MS = 4_000;

/** The limits of an instance that has run for a window, or for less. */
const setUp = (
  instances: readonly string[] = ['a'],
  uptimeMs = WINDOW_MS,
): Setup => {
  let nowMs = -uptimeMs;
  const changes: (number | undefined)[] = [];
  const limits = new decisions.RateLimits({
    now: () => nowMs,
    self: 'a',
    findInstances: () => instances,
    onChange: (_id, perSecond) => changes.push(perSecond),
  });
  nowMs = 0;
  return {
    limits,
    changes,
    wait: ms => {
      nowMs += ms;
    },
  };
};

/** Sends requests while it may, up to 1,000; returns how many. */
const countFree = ({limits}: Setup, id: string): number => {
  let count = 0;
  while (limits.maySend(id) && count < 1_000) {
    limits.recordSend(id);
    count++;
  }
  return count;
};

describe('RateLimits', () => {
  it('calls onChange when a limit is set, changes significantly or is lifted', () => {
    const {limits, changes} = setUp();
    [undefined, 2, 2.1, 4, undefined, undefined].forEach(perSecond => {
      limits.record('u', perSecond);
    });
    chai.expect(changes).eql([2, 4, undefined]);
    chai.expect(limits.find('u')).equal(undefined);
  });

  it('does not limit upstreams that announced no limit', () => {
    const setup = setUp();
    setup.limits.record('u', 1);
    chai.expect(countFree(setup, 'other')).equal(1_000);
  });

  it('uses its share only as its first window passes', () => {
    // Guards against a restart that forgets what was sent within the window.
    const setup = setUp(['a', 'b', 'c', 'd'], 0);
    setup.limits.record('u', 10);
    chai.expect(countFree(setup, 'u')).equal(0);
    chai.expect(setup.limits.findWaitMs('u')).equal(400);
    setup.wait(2_000);
    chai.expect(countFree(setup, 'u')).equal(5);
    setup.wait(2_000);
    chai.expect(countFree(setup, 'u')).equal(5);
  });

  it('divides a limit among all instances', () => {
    const setup = setUp(['a', 'b', 'c', 'd']);
    setup.limits.record('u', 10);
    chai.expect(countFree(setup, 'u')).equal(10);
    setup.wait(4_000);
    chai.expect(countFree(setup, 'u')).equal(10);
  });

  it('allows a request every 10 s however low the limit is', () => {
    // Only an answer can say that a limit is lifted.
    const setup = setUp();
    setup.limits.record('u', 0);
    chai.expect(countFree(setup, 'u')).equal(1);
    setup.wait(9_000);
    chai.expect(countFree(setup, 'u')).equal(0);
    setup.wait(1_000);
    chai.expect(countFree(setup, 'u')).equal(1);
  });

  const waits: readonly {
    readonly name: string;
    readonly perSecond: number | undefined;
    readonly instances: readonly string[];
    readonly expected: number | undefined;
  }[] = [
    {name: 'none', perSecond: undefined, instances: ['a'], expected: 0},
    {
      name: 'the first send to leave the window',
      perSecond: 1,
      instances: ['a'],
      expected: 3_900,
    },
    {
      name: 'the interval of a low rate',
      perSecond: 0.2,
      instances: ['a'],
      expected: 4_900,
    },
    {
      name: 'an unknown time, as another instance has the share',
      perSecond: 0.2,
      instances: ['a', 'b', 'c', 'd'],
      expected: undefined,
    },
  ];

  waits.forEach(({name, perSecond, instances, expected}) => {
    it(`waits for ${name} when its share is used up`, () => {
      const setup = setUp(instances);
      setup.limits.record('u', perSecond);
      countFree(setup, 'u');
      setup.wait(100);
      chai.expect(setup.limits.findWaitMs('u')).equal(expected);
    });
  });

  it('may send exactly when the wait is over', () => {
    const setup = setUp();
    setup.limits.record('u', 1.5);
    countFree(setup, 'u');
    setup.wait(100);
    const waitMs = setup.limits.findWaitMs('u') ?? 0;
    setup.wait(waitMs - 1);
    chai.expect(setup.limits.maySend('u')).equal(false);
    setup.wait(1);
    chai.expect(setup.limits.maySend('u')).equal(true);
  });

  it('counts requests sent before the limit was announced', () => {
    const setup = setUp();
    Array.from({length: 3}, () => {
      setup.limits.recordSend('u');
    });
    setup.limits.record('u', 1);
    chai.expect(countFree(setup, 'u')).equal(1);
  });

  it('merges a limit reported by another instance, with its age', () => {
    const {limits, wait} = setUp();
    wait(5_000);
    limits.merge([{id: 'u', perSecond: 3, ageMs: 400}]);
    wait(100);
    chai.expect(limits.report()).eql([{id: 'u', perSecond: 3, ageMs: 500}]);
  });

  it('ignores reports that are older than the lifting of a limit', () => {
    const {limits, wait} = setUp();
    limits.record('u', 3);
    wait(5_000);
    limits.record('u', undefined);
    wait(200);
    limits.merge([{id: 'u', perSecond: 3, ageMs: 300}]);
    chai.expect(limits.find('u')).equal(undefined);
  });

  it('reports a limit while it is new, and periodically afterwards', () => {
    const {limits, wait} = setUp();
    const isReported = () => limits.report().length === 1;
    wait(5_000);
    limits.record('u', 3);
    chai.expect(isReported()).equal(true);
    wait(4_000);
    limits.record('u', 3.1);
    chai.expect(isReported()).equal(false);
    wait(11_500);
    chai.expect(isReported()).equal(true);
  });

  it('expires limits that were not announced for 60 s', () => {
    const {limits, wait} = setUp();
    limits.record('u', 3);
    wait(30_000);
    chai.expect(limits.find('u')).equal(3);
    wait(31_000);
    chai.expect(limits.find('u')).equal(undefined);
  });

  it('keeps the limit of a removed upstream until it expires', () => {
    // An entry may lapse and return, and the upstream still has its limit.
    const setup = setUp();
    setup.limits.record('u', 1);
    chai.expect(countFree(setup, 'u')).equal(4);
    setup.limits.retain(new Set());
    chai.expect(setup.limits.find('u')).equal(1);
    chai.expect(countFree(setup, 'u')).equal(0);
    setup.wait(60_001);
    setup.limits.retain(new Set());
    chai.expect(setup.limits.find('u')).equal(undefined);
    chai.expect(setup.limits.report()).eql([]);
  });

  it('drops what it has of a removed upstream without a limit', () => {
    const setup = setUp();
    setup.limits.record('u', 1);
    setup.limits.record('u', undefined);
    setup.limits.retain(new Set());
    chai.expect(setup.limits.report()).eql([]);
  });
});
