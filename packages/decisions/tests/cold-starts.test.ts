import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const START = {id: 'u-1', startedAtMs: 1};

const COLD_START_MS = 3_000;

interface Fixture {
  readonly coldStarts: decisions.ColdStarts;
  readonly begins: decisions.ColdBegin[];
  readonly ends: decisions.ColdEnd[];
  readonly setAbsence: (absence: decisions.Absence | undefined) => void;
  readonly setTime: (ms: number) => void;
  readonly tell: (coldForMs: number, startedAtMs?: number) => void;
}

const createFixture = (): Fixture => {
  let now = 0;
  const begins: decisions.ColdBegin[] = [];
  const ends: decisions.ColdEnd[] = [];
  let absence: decisions.Absence | undefined;
  const coldStarts = new decisions.ColdStarts({
    now: () => now,
    findColdStartMs: () => COLD_START_MS,
    findAbsence: ({startedAtMs}) =>
      startedAtMs === START.startedAtMs ? absence : undefined,
    onAnswered: () => {
      absence = undefined;
    },
    onReturn: () => undefined,
    onBegin: begin => begins.push(begin),
    onEnd: end => ends.push(end),
  });
  return {
    coldStarts,
    begins,
    ends,
    setAbsence: found => {
      absence = found;
      coldStarts.updateAbsence(START);
    },
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

  it('takes an upstream that was away for cold until it has answered for long enough', () => {
    // Guards against no news of a cold start that is taken for good news.
    const {coldStarts, begins, setAbsence, setTime} = createFixture();
    setAbsence({foundAtMs: 0, answeredAtMs: undefined, origin: 'own'});
    setTime(5_000);
    chai.expect(coldStarts.findUntilMs(START)).equal(Infinity);
    chai.expect(begins.map(({source}) => source)).eql(['absence']);
    setAbsence({foundAtMs: 0, answeredAtMs: 5_000, origin: 'own'});
    chai.expect(coldStarts.findUntilMs(START)).equal(5_000 + COLD_START_MS);
    setTime(5_000 + COLD_START_MS);
    coldStarts.expire();
    chai.expect(coldStarts.describe(START).isCold).equal(false);
  });

  it('believes what an upstream says of itself after it was away', () => {
    const {coldStarts, setAbsence, setTime} = createFixture();
    setAbsence({foundAtMs: 0, answeredAtMs: undefined, origin: 'reported'});
    setTime(1_000);
    const statement = {source: 'health_check', ageMs: 0} as const;
    coldStarts.record(START, {...statement, coldForMs: 700});
    chai.expect(coldStarts.findUntilMs(START)).equal(1_700);
  });

  it('does not believe an entry of the start that was away', () => {
    // Guards against an entry that was written before the absence and read later.
    const {coldStarts, setAbsence, tell} = createFixture();
    setAbsence({foundAtMs: 0, answeredAtMs: undefined, origin: 'own'});
    tell(0);
    chai.expect(coldStarts.describe(START).isCold).equal(true);
  });

  it('ends an absence when another start has an entry', () => {
    const {coldStarts, setAbsence, tell} = createFixture();
    setAbsence({foundAtMs: 0, answeredAtMs: undefined, origin: 'own'});
    tell(0, 2);
    const start = {...START, startedAtMs: 2};
    chai.expect(coldStarts.describe(start).isCold).equal(false);
  });

  it('counts an upstream as warm when its absence turns out to be none', () => {
    const {coldStarts, ends, setAbsence} = createFixture();
    setAbsence({foundAtMs: 0, answeredAtMs: undefined, origin: 'own'});
    setAbsence(undefined);
    chai.expect(coldStarts.describe(START).isCold).equal(false);
    chai.expect(ends.length).equal(1);
  });
});
