import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const START = {id: 'u-1', startedAtMs: 1};

interface Fixture {
  readonly coldStarts: decisions.ColdStarts;
  readonly begins: decisions.ColdBegin[];
  readonly ends: decisions.ColdEnd[];
  readonly setTime: (ms: number) => void;
  readonly tell: (coldForMs: number, startedAtMs?: number) => void;
}

const createFixture = (): Fixture => {
  let now = 0;
  const begins: decisions.ColdBegin[] = [];
  const ends: decisions.ColdEnd[] = [];
  const coldStarts = new decisions.ColdStarts({
    now: () => now,
    onBegin: begin => begins.push(begin),
    onEnd: end => ends.push(end),
  });
  return {
    coldStarts,
    begins,
    ends,
    setTime: ms => {
      now = ms;
    },
    tell: (coldForMs, startedAtMs = 1) => {
      coldStarts.record(
        {...START, startedAtMs},
        {source: 'entry', coldForMs, ageMs: 20},
      );
    },
  };
};

describe('ColdStarts', () => {
  it('does not end a cold start early because of a later statement', () => {
    const {coldStarts, tell, setTime} = createFixture();
    tell(3_000);
    setTime(1_000);
    tell(0);
    chai.expect(coldStarts.findUntilMs(START)).equal(3_000);
  });

  it('treats a new start under the same id as another upstream', () => {
    const {coldStarts, tell, setTime} = createFixture();
    tell(9_000);
    setTime(5_000);
    tell(0, 2);
    const start = {...START, startedAtMs: 2};
    chai.expect(coldStarts.findUntilMs(start)).equal(5_000);
    chai.expect(coldStarts.findUntilMs(START)).equal(-Infinity);
  });

  it('tells how much was sent before it was known, and meanwhile', () => {
    const {coldStarts, begins, ends, tell, setTime} = createFixture();
    [0, 800, 1_500].forEach(atMs => {
      setTime(atMs);
      coldStarts.recordSend(START);
    });
    tell(2_000);
    coldStarts.recordSend(START);
    chai.expect(coldStarts.coldCount).equal(1);
    chai.expect(coldStarts.describe(START)).eql({
      isCold: true,
      coldSource: 'entry',
      coldForMs: 2_000,
      coldKnownMs: 0,
    });
    setTime(3_600);
    coldStarts.expire();
    coldStarts.expire();
    chai.expect(begins).eql([
      {
        upstream: 'u-1',
        source: 'entry',
        coldForMs: 2_000,
        ageMs: 20,
        sentLastS: 2,
      },
    ]);
    chai
      .expect(ends)
      .eql([{upstream: 'u-1', source: 'entry', coldMs: 2_000, sent: 1}]);
    chai.expect(coldStarts.describe(START)).eql({isCold: false});
  });

  it('tells of one cold start once, though each heartbeat extends it', () => {
    const {begins, tell, setTime} = createFixture();
    [0, 1_200, 2_400].forEach(atMs => {
      setTime(atMs);
      tell(4_000 - atMs + 10);
    });
    chai.expect(begins.length).equal(1);
  });
});
