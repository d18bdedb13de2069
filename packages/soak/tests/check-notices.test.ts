import * as chai from 'chai';
import * as checkNotices from '../src/check-notices.js';
import type * as invariants from '../src/invariants.js';

const LEAVING_MS = 2_000;

const createCaller = (
  id: string,
  sentAtMs: number,
  instance = 'instance-1',
): invariants.CallerRecord => ({
  id,
  kind: 'read',
  isFatal: false,
  key: 'key-1',
  instance,
  sentAtMs,
  endedAtMs: sentAtMs + 10,
  status: 200,
  body: '',
  isComplete: true,
  isSigned: true,
});

/** Requests at these times, after a notice at 0 to the first. */
const check = (
  kind: checkNotices.Notice['kind'],
  timesMs: readonly number[],
  disruptions: readonly checkNotices.Disruption[] = [],
  instance = 'instance-1',
  sender?: string,
): readonly invariants.Violation[] => {
  const first = createCaller('first', -10);
  const later = timesMs.map((atMs, index) =>
    createCaller(`later-${index}`, atMs - 10, instance),
  );
  const arrivals = later.map(({id, sentAtMs}) => ({
    id,
    upstream: 'u-1',
    atMs: sentAtMs + 10,
    sender,
  }));
  const notice = {kind, id: 'first', upstream: 'u-1', atMs: 0, untilMs: 3_000};
  return checkNotices.findIgnoredNotices(
    {arrivals, notices: [notice], disruptions},
    [first, ...later],
    LEAVING_MS,
  );
};

describe('findIgnoredNotices', () => {
  it('accepts requests on their way, two more, and those after a backoff', () => {
    const times = [100, 400, 600, 700, 3_100, 3_200, 3_300];
    chai.expect(check('backoff', times)).eql([]);
  });

  it('finds three requests in a backoff', () => {
    chai.expect(check('backoff', [600, 700, 2_900])).length(1);
  });

  it('does not count the requests of another instance', () => {
    const times = [600, 700, 2_900];
    chai.expect(check('backoff', times, [], 'instance-2')).eql([]);
  });

  it('excuses an instance that was restarted since', () => {
    const restart = {target: 'instance-1', fromMs: 550, toMs: 560};
    chai.expect(check('backoff', [600, 700, 2_900], [restart])).eql([]);
  });

  it('counts a request for the instance that sent it to the upstream', () => {
    // Guards against an instance blamed for what it forwarded to another one.
    const times = [600, 700, 2_900];
    chai
      .expect(check('backoff', times, [], 'instance-1', 'instance-2'))
      .eql([]);
    chai
      .expect(check('backoff', times, [], 'instance-2', 'instance-1'))
      .length(1);
  });

  it('finds a request that was sent too late to a leaving upstream', () => {
    chai.expect(check('leaving', [1_900])).eql([]);
    chai.expect(check('leaving', [2_100])).length(1);
  });
});
