import * as chai from 'chai';
import * as fixture from './gateway-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

const INSTANCES = 89;

/** Times after a common start, in ms: few, some and all others are known. */
const TIMES_MS: readonly number[] = [500, 1_500, 6_000];

/** Requests a second that an upstream announces, and the window of its limit. */
const LIMIT_PER_S = 20;
const LIMIT_WINDOW_S = 4;

const SLOTS = 8;

const UPSTREAM = {
  id: 'u-1',
  startedAtMs: 1,
  service: 'svc',
  slots: SLOTS,
};

/** What one instance may use of something that all share. */
type CountOwn = (instance: Pick<virtualFleet.VirtualInstance, 'get'>) => number;

interface ShareCase {
  readonly name: string;
  readonly countOwn: CountOwn;
  /** Bound of the sum over all instances. */
  readonly most: number;
  /** Bound of the sum from below, once all are known. */
  readonly least: number;
}

const countRepeats: CountOwn = ({get}) => {
  let count = 0;
  while (count < 1_000 && get('repeatBudget').take('svc').isGranted) {
    count++;
  }
  return count;
};

const countLimited: CountOwn = ({get}) => {
  const limits = get('limits');
  limits.record(UPSTREAM.id, LIMIT_PER_S);
  let count = 0;
  while (count < 1_000 && limits.maySend(UPSTREAM.id)) {
    limits.recordSend(UPSTREAM.id);
    count++;
  }
  return count;
};

const countSlots: CountOwn = ({get}) => {
  get('concurrencyShares').record(UPSTREAM, 3);
  return get('concurrencyShares').findCapacity(UPSTREAM) ?? Infinity;
};

const CASES: readonly ShareCase[] = [
  {
    name: 'repeats beyond the ratio',
    countOwn: countRepeats,
    most: fixture.BOUNDS.retry.slack,
    least: 0,
  },
  {
    name: 'requests to an upstream that announced a limit',
    countOwn: countLimited,
    most: LIMIT_PER_S * LIMIT_WINDOW_S,
    least: (LIMIT_PER_S * LIMIT_WINDOW_S) / 2,
  },
  {
    name: 'slots of an upstream that fails when it refuses too much',
    countOwn: countSlots,
    most: SLOTS,
    least: SLOTS,
  },
];

describe('what all instances share', () => {
  CASES.forEach(({name, countOwn, most, least}) => {
    TIMES_MS.forEach(atMs => {
      it(`is not exceeded ${atMs} ms after a common start: ${name}`, async () => {
        // Guards against instances that know few others and take the whole.
        const fleet = await virtualFleet.startVirtualFleet({
          instances: INSTANCES,
          zones: 4,
        });
        await fleet.clock.advance(atMs);
        const sum = fleet
          .live()
          .map(countOwn)
          .reduce((a, b) => a + b, 0);
        chai.expect(sum).most(most);
        const isSettled = atMs === TIMES_MS.at(-1);
        chai.expect(sum).least(isSettled ? least : 0);
      });
    });
  });
});

describe('an instance that has just started', () => {
  it('may repeat its first request, and no more', async () => {
    // Guards against callers whose first failure is final after a restart.
    const fleet = await virtualFleet.startVirtualFleet({
      instances: 6,
      zones: 3,
    });
    await fleet.clock.advance(500);
    fleet.live().forEach(({get}) => {
      get('repeatBudget').recordRequest('svc');
      chai.expect(countRepeats({get})).equal(1);
    });
  });
});
