import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const START = {id: 'u-1', startedAtMs: 1};

const COLD_START_MS = 3_000;

interface Fixture {
  readonly coldStarts: decisions.ColdStarts;
  readonly begins: decisions.ColdBegin[];
  readonly ends: decisions.ColdEnd[];
  readonly returns: string[];
  readonly news: decisions.NewsOrigin[];
  readonly setTime: (ms: number) => void;
  readonly tell: (coldForMs: number, startedAtMs?: number) => void;
}

const createFixture = (): Fixture => {
  let now = 0;
  const begins: decisions.ColdBegin[] = [];
  const ends: decisions.ColdEnd[] = [];
  const returns: string[] = [];
  const news: decisions.NewsOrigin[] = [];
  const coldStarts = new decisions.ColdStarts({
    now: () => now,
    findColdStartMs: () => COLD_START_MS,
    onReturn: id => returns.push(id),
    onNews: origin => news.push(origin),
    onBegin: begin => begins.push(begin),
    onEnd: end => ends.push(end),
  });
  return {
    coldStarts,
    begins,
    ends,
    returns,
    news,
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
    const {coldStarts, returns, setTime} = createFixture();
    coldStarts.recordAbsence(START);
    setTime(5_000);
    chai.expect(coldStarts.findUntilMs(START)).greaterThan(5_000);
    coldStarts.recordAnswer(START);
    coldStarts.recordAnswer(START);
    chai.expect(returns).eql(['u-1']);
    chai.expect(coldStarts.findUntilMs(START)).equal(5_000 + COLD_START_MS);
    setTime(5_000 + COLD_START_MS);
    coldStarts.expire();
    chai.expect(coldStarts.describe(START).isCold).equal(false);
  });

  it('believes what an upstream says of itself after it was away', () => {
    const {coldStarts, returns, setTime} = createFixture();
    coldStarts.recordAbsence(START);
    setTime(1_000);
    const statement = {source: 'health_check', ageMs: 0} as const;
    coldStarts.record(START, {...statement, coldForMs: 700});
    chai.expect(coldStarts.findUntilMs(START)).equal(1_700);
    chai.expect(returns).eql(['u-1']);
  });

  it('does not believe an entry of the start that was away', () => {
    // Guards against an entry that was written before the absence and read later.
    const {coldStarts, tell} = createFixture();
    coldStarts.recordAbsence(START);
    tell(0);
    chai.expect(coldStarts.describe(START).isCold).equal(true);
  });

  it('ends an absence when another start has an entry', () => {
    const {coldStarts, tell} = createFixture();
    coldStarts.recordAbsence(START);
    tell(0, 2);
    const start = {...START, startedAtMs: 2};
    chai.expect(coldStarts.describe(start).isCold).equal(false);
  });

  it('learns of an absence, and of the first answer after it, by reports', () => {
    // Guards against instances that each have to find out by themselves.
    const here = createFixture();
    const there = createFixture();
    here.coldStarts.recordAbsence(START);
    there.setTime(10_000);
    there.coldStarts.merge(here.coldStarts.report());
    chai
      .expect(there.coldStarts.describe(START).coldSource)
      .equal('reported_absence');
    here.setTime(1_500);
    here.coldStarts.recordAnswer(START);
    there.setTime(11_500);
    there.coldStarts.merge(here.coldStarts.report());
    chai
      .expect(there.coldStarts.findUntilMs(START))
      .equal(11_500 + COLD_START_MS);
    chai.expect(there.returns).eql(['u-1']);
    chai.expect(here.news).eql(['own', 'own']);
    chai.expect(there.news).eql(['reported', 'reported']);
  });

  it('does not take an answer before a later absence for its end', () => {
    const {coldStarts, setTime} = createFixture();
    setTime(10_000);
    coldStarts.recordAbsence(START);
    coldStarts.merge([{...START, awayAgeMs: 3_000, answeredAgeMs: 1_000}]);
    chai.expect(coldStarts.findUntilMs(START)).greaterThan(20_000);
  });

  it('reports an absence that goes on now and then, and nothing when none is new', () => {
    const {coldStarts, news, setTime} = createFixture();
    for (let atMs = 0; atMs < 2_000; atMs += 50) {
      setTime(atMs);
      coldStarts.recordAbsence(START);
    }
    chai.expect(news.length).most(5);
    setTime(10_000);
    chai.expect(coldStarts.report()).eql([]);
    chai.expect(coldStarts.report('all').length).equal(1);
  });
});
