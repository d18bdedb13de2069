import * as chai from 'chai';
import * as checkCold from '../src/check-cold.js';
import * as documents from '../src/soak-documents.js';

const RETURN = {upstream: 'u-1', fromMs: 1_000, toMs: 3_000};

/** Arrivals from three instances in turn. */
const arriveAt = (
  timesMs: readonly number[],
  upstream = 'u-1',
): checkCold.ColdRecord['arrivals'] =>
  timesMs.map((atMs, index) => ({
    id: `r-${index}`,
    upstream,
    atMs,
    sender: `instance-${index % 3}`,
  }));

const spread = (count: number, fromMs: number, forMs: number) =>
  Array.from({length: count}, (_, index) => fromMs + (index * forMs) / count);

const MOST = documents.COLD_MOST_PER_S;

describe('findFloods', () => {
  [
    {
      name: 'as many as are allowed in each second',
      arrivals: arriveAt(spread(2 * MOST, 1_000, 2_100)),
      floods: 0,
    },
    {
      name: 'one too many in a second, summed over all senders',
      arrivals: arriveAt(spread(MOST + 1, 1_700, 900)),
      floods: 1,
    },
    {
      name: 'those before and after the cold start',
      arrivals: arriveAt([
        ...spread(3 * MOST, 0, 990),
        ...spread(3 * MOST, 3_000, 900),
      ]),
      floods: 0,
    },
    {
      name: 'those of another upstream',
      arrivals: arriveAt(spread(3 * MOST, 1_000, 900), 'u-2'),
      floods: 0,
    },
  ].forEach(({name, arrivals, floods}) => {
    it(`finds ${floods}: ${name}`, () => {
      const found = checkCold.findFloods({arrivals, returns: [RETURN]});
      chai.expect(found.length).equal(floods);
    });
  });
});
