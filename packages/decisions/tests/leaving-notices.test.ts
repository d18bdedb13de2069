import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

interface Setup {
  readonly notices: decisions.LeavingNotices;
  readonly wait: (ms: number) => void;
  /** Arguments of the `onFirst` calls so far. */
  readonly first: string[];
}

const setUp = (): Setup => {
  let nowMs = 0;
  const first: string[] = [];
  const notices = new decisions.LeavingNotices({
    now: () => nowMs,
    onFirst: id => first.push(id),
  });
  return {
    notices,
    first,
    wait: ms => {
      nowMs += ms;
    },
  };
};

const createStart = (startedAtMs = 1): decisions.UpstreamStart => ({
  id: 'u',
  startedAtMs,
});

const NONE: ReadonlySet<string> = new Set();

describe('LeavingNotices', () => {
  it('applies to one start of an upstream', () => {
    const {notices} = setUp();
    notices.record(createStart(2));
    chai.expect(notices.has(createStart(2))).equal(true);
    chai.expect(notices.has(createStart(3))).equal(false);
    chai.expect(notices.has({id: 'other', startedAtMs: 2})).equal(false);
  });

  it('ignores a late answer of an earlier start', () => {
    const {notices} = setUp();
    notices.record(createStart(2));
    notices.record(createStart(1));
    chai.expect(notices.has(createStart(2))).equal(true);
  });

  it('calls onFirst once for each start', () => {
    const {notices, first} = setUp();
    [1, 1, 2, 1, 2].forEach(startedAtMs => {
      notices.record(createStart(startedAtMs));
    });
    chai.expect(first).eql(['u', 'u']);
  });

  it('outlives an entry that lapses, but not forever', () => {
    const {notices, wait} = setUp();
    notices.record(createStart());
    wait(500_000);
    notices.retain(NONE);
    chai.expect(notices.has(createStart())).equal(true);
    wait(200_000);
    notices.retain(new Set(['u']));
    chai.expect(notices.has(createStart())).equal(true);
    notices.retain(NONE);
    chai.expect(notices.has(createStart())).equal(false);
  });
});
