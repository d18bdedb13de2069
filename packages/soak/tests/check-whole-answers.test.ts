import * as chai from 'chai';
import * as checkWholeAnswers from '../src/check-whole-answers.js';
import type * as invariants from '../src/invariants.js';

const WRITTEN_MS = 1_000;

const createBooking = (status: number): invariants.CallerRecord => ({
  id: 'r-1',
  kind: 'book',
  isFatal: false,
  key: 'key-1',
  instance: 'instance-1',
  sentAtMs: 900,
  endedAtMs: 1_100,
  status,
  body: '',
  isComplete: true,
  isSigned: true,
});

interface LostCase {
  readonly name: string;
  readonly status: number;
  /** When the upstream was killed; undefined if it was not. */
  readonly killedMs?: number;
  readonly isLost: boolean;
}

const CASES: readonly LostCase[] = [
  {name: 'that arrived', status: 200, isLost: false},
  {name: 'that was lost', status: 502, isLost: true},
  {
    name: 'that was lost as its upstream was killed',
    status: 502,
    killedMs: WRITTEN_MS + 10,
    isLost: false,
  },
  {
    name: 'that was lost long before its upstream was killed',
    status: 502,
    killedMs: WRITTEN_MS + 900,
    isLost: true,
  },
];

describe('findLostAnswers', () => {
  CASES.forEach(({name, status, killedMs, isLost}) => {
    it(`${isLost ? 'finds' : 'passes over'} a whole answer ${name}`, () => {
      const kills =
        killedMs === undefined
          ? []
          : [{target: 'u-1', fromMs: killedMs - 500, toMs: killedMs + 500}];
      const answers = [{id: 'r-1', upstream: 'u-1', atMs: WRITTEN_MS}];
      const found = checkWholeAnswers.findLostAnswers({answers, kills}, [
        createBooking(status),
      ]);
      chai.expect(found).length(isLost ? 1 : 0);
    });
  });
});
