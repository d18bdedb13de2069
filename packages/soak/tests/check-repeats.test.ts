import * as chai from 'chai';
import * as checkRepeats from '../src/check-repeats.js';
import * as documents from '../src/soak-documents.js';

const {slack, ratio, windowMs} = documents.RETRY_LIMIT;

const REQUESTS = 100;

/** Repeats of the requests that one window allows. */
const MOST = slack + ratio * REQUESTS;

interface ArrivalCase {
  readonly name: string;
  /** Times of the arrivals beyond the first of their requests. */
  readonly repeatedAtMs: readonly number[];
  readonly excesses: number;
}

const spread = (count: number, fromMs: number, forMs: number) =>
  Array.from({length: count}, (_, index) => fromMs + (index * forMs) / count);

const CASES: readonly ArrivalCase[] = [
  {
    name: 'as many as are allowed',
    repeatedAtMs: spread(MOST, 100, windowMs - 200),
    excesses: 0,
  },
  {
    name: 'one too many, summed over all instances',
    repeatedAtMs: spread(MOST + 1, 100, windowMs - 200),
    excesses: 1,
  },
  {
    name: 'nearly as many in the window after that of the requests',
    repeatedAtMs: spread(0.9 * MOST, windowMs, windowMs - 200),
    excesses: 0,
  },
  {
    name: 'one too many in a window with no requests before it',
    repeatedAtMs: spread(slack + 1, 3 * windowMs, 100),
    excesses: 1,
  },
];

describe('findRepeatExcess', () => {
  CASES.forEach(({name, repeatedAtMs, excesses}) => {
    it(`finds ${excesses}: ${name}`, () => {
      const arrive = (atMs: number, index: number) => ({
        id: `r-${index % REQUESTS}`,
        upstream: `u-${index % 3}`,
        atMs,
        sender: `instance-${index % 4}`,
      });
      const arrivals = [
        ...spread(REQUESTS, 0, windowMs).map(arrive),
        ...repeatedAtMs.map(arrive),
      ];
      const found = checkRepeats.findRepeatExcess({
        arrivals,
        limit: documents.RETRY_LIMIT,
      });
      chai.expect(found.length).equal(excesses);
    });
  });
});
