import * as chai from 'chai';
import * as checkFatalParts from '../src/check-fatal-parts.js';
import type * as invariants from '../src/invariants.js';

const STABILITY_MS = 3_000;

const ENDS_MS = [1_000, 1_100, 1_200, 1_300, 1_400];

/** The time from which requests with the part count. */
const COUNTED_FROM_MS = 1_400 + STABILITY_MS;

const createCaller = (id: string): invariants.CallerRecord => ({
  id,
  kind: 'stream',
  isFatal: true,
  key: 'key-1',
  instance: 'instance-1',
  sentAtMs: 0,
  endedAtMs: 0,
  status: 503,
  body: '',
  isComplete: true,
  isSigned: false,
});

const createRecord = (
  arrivalsMs: readonly number[],
  overrides: Partial<checkFatalParts.FatalPartRecord> = {},
): checkFatalParts.FatalPartRecord => ({
  arrivals: arrivalsMs.map((atMs, index) => ({
    id: `r-${index}`,
    upstream: 'u-0',
    atMs,
  })),
  endsMs: ENDS_MS,
  disruptions: [],
  ...overrides,
});

const countFound = (record: checkFatalParts.FatalPartRecord): number =>
  checkFatalParts.findFatalArrivals(
    record,
    record.arrivals.map(({id}) => createCaller(id)),
    STABILITY_MS,
  ).length;

const late = (count: number): readonly number[] =>
  Array.from({length: count}, (_, index) => COUNTED_FROM_MS + 10 + index);

describe('findFatalArrivals', () => {
  it('allows three arrivals after the fifth end', () => {
    chai.expect(countFound(createRecord(late(3)))).equal(0);
    chai.expect(countFound(createRecord(late(4)))).equal(1);
  });

  it('counts no arrivals before all instances must know', () => {
    const early = Array.from({length: 20}, (_, index) => 1_000 + index);
    chai.expect(countFound(createRecord(early))).equal(0);
  });

  it('counts none where fewer upstreams ended', () => {
    const endsMs = ENDS_MS.slice(1);
    chai.expect(countFound(createRecord(late(9), {endsMs}))).equal(0);
  });

  it('excuses instances that were disrupted shortly before', () => {
    const disruptions = [
      {target: 'instance-1', fromMs: 2_000, toMs: COUNTED_FROM_MS - 1_000},
    ];
    chai.expect(countFound(createRecord(late(9), {disruptions}))).equal(0);
  });
});
