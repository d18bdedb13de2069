import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

interface Setup {
  readonly backoffs: decisions.UpstreamBackoffs;
  readonly wait: (ms: number) => void;
  /** Arguments of the `onBegin` calls so far. */
  readonly begun: (readonly [id: string, forMs: number])[];
}

const setUp = (): Setup => {
  let nowMs = 0;
  const begun: (readonly [string, number])[] = [];
  const backoffs = new decisions.UpstreamBackoffs({
    now: () => nowMs,
    onBegin: (id, forMs) => begun.push([id, forMs]),
  });
  return {
    backoffs,
    begun,
    wait: ms => {
      nowMs += ms;
    },
  };
};

const createStart = (startedAtMs = 1): decisions.UpstreamStart => ({
  id: 'u',
  startedAtMs,
});

describe('UpstreamBackoffs', () => {
  it('ends a backoff after its time, and not before', () => {
    const {backoffs, wait} = setUp();
    backoffs.record(createStart(), 3_000);
    wait(2_999);
    chai.expect(backoffs.findRemainingMs(createStart())).equal(1);
    chai.expect(backoffs.activeCount).equal(1);
    wait(1);
    chai.expect(backoffs.findRemainingMs(createStart())).equal(0);
    chai.expect(backoffs.activeCount).equal(0);
  });

  it('does not shorten a backoff by a later, shorter one', () => {
    const {backoffs, wait} = setUp();
    backoffs.record(createStart(), 3_000);
    wait(500);
    backoffs.record(createStart(), 1_000);
    chai.expect(backoffs.findRemainingMs(createStart())).equal(2_500);
  });

  it('extends a backoff by a later, longer one', () => {
    const {backoffs, wait} = setUp();
    backoffs.record(createStart(), 3_000);
    wait(2_000);
    backoffs.record(createStart(), 3_000);
    chai.expect(backoffs.findRemainingMs(createStart())).equal(3_000);
  });

  it('calls onBegin once for refusals that overlap', () => {
    const {backoffs, begun, wait} = setUp();
    backoffs.record(createStart(), 3_000);
    wait(100);
    backoffs.record(createStart(), 3_000);
    wait(4_000);
    backoffs.record(createStart(), 1_000);
    chai.expect(begun).eql([
      ['u', 3_000],
      ['u', 1_000],
    ]);
  });

  it('calls onBegin at most once a second for one upstream', () => {
    // Guards against a log that fills up with very short backoffs.
    const {backoffs, begun, wait} = setUp();
    for (let i = 0; i < 50; i++) {
      backoffs.record(createStart(), 10);
      wait(50);
    }
    chai.expect(begun).length(3);
  });

  it('does not apply to a later start of the upstream', () => {
    const {backoffs} = setUp();
    backoffs.record(createStart(1), 60_000);
    chai.expect(backoffs.findRemainingMs(createStart(2))).equal(0);
  });

  it('ignores an answer of an earlier start', () => {
    const {backoffs} = setUp();
    backoffs.record(createStart(2), 1_000);
    backoffs.record(createStart(1), 60_000);
    chai.expect(backoffs.findRemainingMs(createStart(2))).equal(1_000);
  });

  it('keeps only active backoffs when ended ones are removed', () => {
    const {backoffs, wait} = setUp();
    backoffs.record(createStart(), 1_000);
    backoffs.record({id: 'other', startedAtMs: 1}, 3_000);
    wait(1_000);
    backoffs.removeEnded();
    const other = {id: 'other', startedAtMs: 1};
    chai.expect(backoffs.findRemainingMs(other)).equal(2_000);
  });
});
