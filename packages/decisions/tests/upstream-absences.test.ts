import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const START = {id: 'u-1', startedAtMs: 1};
const COLD_START_MS = 3_000;

const SIBLING = {id: 'u-2', startedAtMs: 1};

interface Fixture {
  readonly absences: decisions.UpstreamAbsences;
  readonly returns: string[];
  readonly news: decisions.NewsOrigin[];
  readonly refutations: decisions.RefutedAbsence[];
  readonly setTime: (ms: number) => void;
  /** Sets a time in which this instance had answers without a gap. */
  readonly setAlive: (fromMs: number, toMs: number) => void;
}

const createFixture = (service: readonly string[] = ['u-1']): Fixture => {
  let now = 0;
  let alive = {fromMs: Infinity, toMs: -Infinity};
  const returns: string[] = [];
  const news: decisions.NewsOrigin[] = [];
  const refutations: decisions.RefutedAbsence[] = [];
  const absences = new decisions.UpstreamAbsences({
    now: () => now,
    findColdStartMs: () => COLD_START_MS,
    findSiblings: id => service.filter(other => other !== id),
    findSignOfLife: (_id, atMs) =>
      alive.fromMs < atMs && atMs < alive.toMs ? 'answers' : undefined,
    onRefute: refuted => refutations.push(refuted),
    onChange: () => undefined,
    onReturn: id => returns.push(id),
    onNews: origin => news.push(origin),
  });
  return {
    absences,
    returns,
    news,
    refutations,
    setTime: ms => {
      now = ms;
    },
    setAlive: (fromMs, toMs) => {
      alive = {fromMs, toMs};
    },
  };
};

describe('UpstreamAbsences', () => {
  it('learns of an absence, and of the first answer after it, by reports', () => {
    // Guards against instances that each have to find out by themselves.
    const here = createFixture();
    const there = createFixture();
    here.absences.recordOwn(START);
    there.setTime(10_000);
    there.absences.merge(here.absences.report());
    chai.expect(there.absences.find(START)?.foundAtMs).equal(10_000);
    here.setTime(1_500);
    here.absences.recordAnswer(START);
    here.absences.recordAnswer(START);
    there.setTime(11_500);
    there.absences.merge(here.absences.report());
    chai.expect(there.absences.find(START)?.answeredAtMs).equal(11_500);
    chai.expect(there.returns).eql(['u-1']);
    chai.expect(here.news).eql(['own', 'own']);
    chai.expect(there.news).eql(['reported', 'reported']);
  });

  it('takes no answer before a later absence for its end', () => {
    const {absences, setTime} = createFixture();
    setTime(10_000);
    absences.recordOwn(START);
    absences.merge([{...START, awayAgeMs: 3_000, answeredAgeMs: 1_000}]);
    chai.expect(absences.find(START)?.answeredAtMs).equal(undefined);
  });

  it('begins anew when an upstream is found away after an answer', () => {
    const {absences, setTime} = createFixture();
    absences.recordOwn(START);
    setTime(500);
    absences.recordAnswer(START);
    setTime(900);
    absences.merge([{...START, awayAgeMs: 100}]);
    chai.expect(absences.find(START)?.answeredAtMs).equal(undefined);
  });

  it('tells others only once another upstream of the service answers', () => {
    // Guards against an instance that is cut off and makes all others hold back.
    const {absences, news} = createFixture(['u-1', 'u-2']);
    absences.recordOwn(START);
    chai.expect(absences.report()).eql([]);
    chai.expect(absences.find(START)).not.equal(undefined);
    absences.recordAnswer(SIBLING);
    chai.expect(news).eql(['own']);
    chai.expect(absences.report().length).equal(1);
  });

  it('refutes a reported absence in which it had answers, for all', () => {
    // Guards against one instance without a link that speaks for all.
    const here = createFixture();
    const there = createFixture();
    there.setTime(1_000);
    there.absences.recordOwn(START);
    there.setTime(1_050);
    here.setTime(1_100);
    here.setAlive(200, 1_090);
    here.absences.merge(there.absences.report());
    chai.expect(here.absences.find(START)).equal(undefined);
    chai.expect(here.news, 'no flood of messages').eql([]);
    there.setTime(1_200);
    there.absences.merge(here.absences.report());
    chai.expect(there.absences.find(START)).equal(undefined);
    there.absences.merge([{...START, awayAgeMs: 200}]);
    chai.expect(there.absences.find(START), 'told again').equal(undefined);
    there.setTime(2_000);
    there.absences.recordOwn(START);
    chai.expect(there.news, 'keeps the next for itself').eql(['own']);
    chai
      .expect(here.refutations)
      .eql([{upstream: 'u-1', ageMs: 50, by: 'answers'}]);
    chai
      .expect(there.refutations)
      .eql([{upstream: 'u-1', ageMs: 50, by: 'reported'}]);
  });

  it('refutes its own when an answer goes on', () => {
    const {absences, setTime, setAlive} = createFixture();
    setTime(1_000);
    absences.recordOwn(START);
    setTime(1_050);
    setAlive(500, 1_050);
    absences.recordAlive(START);
    chai.expect(absences.find(START)).equal(undefined);
  });

  it('believes an absence that is found after a refuted one', () => {
    const {absences, setTime} = createFixture();
    setTime(1_000);
    absences.merge([{...START, awayAgeMs: 0, isRefuted: true}]);
    setTime(2_000);
    absences.merge([{...START, awayAgeMs: 100}]);
    chai.expect(absences.find(START)?.foundAtMs).equal(1_900);
  });

  it('is told to an instance that was paused when it was news', () => {
    // Guards against one that resumes and takes the upstream for warm.
    const here = createFixture();
    const paused = createFixture();
    here.absences.recordOwn(START);
    here.setTime(20_000);
    paused.setTime(20_000);
    paused.absences.merge(here.absences.report());
    chai.expect(paused.absences.find(START)?.foundAtMs).equal(0);
    here.absences.recordAnswer(START);
    here.setTime(20_000 + COLD_START_MS - 1);
    chai.expect(here.absences.report().length).equal(1);
    here.setTime(20_000 + COLD_START_MS);
    chai.expect(here.absences.report()).eql([]);
  });

  it('pushes one that goes on only now and then', () => {
    const {absences, news, setTime} = createFixture();
    for (let atMs = 0; atMs < 2_000; atMs += 50) {
      setTime(atMs);
      absences.recordOwn(START);
    }
    chai.expect(news.length).most(5);
  });

  it('forgets an absence after a minute', () => {
    const {absences, setTime} = createFixture();
    absences.recordOwn(START);
    setTime(61_000);
    absences.expire();
    chai.expect(absences.find(START)).equal(undefined);
  });

  it('stops to announce a refuted absence among instances that are late', () => {
    // Guards against instances that keep each other busy with old news, which
    // each dates later by the time for which it lay unread.
    const LATE_MS = 300;
    const fixtures = [createFixture(), createFixture(), createFixture()];
    const [first] = fixtures;
    first?.setTime(1_000);
    first?.setAlive(0, 2_000);
    first?.absences.merge([{...START, awayAgeMs: 10}]);
    for (let ms = 1_000; ms < 10_000; ms += LATE_MS) {
      const sent = fixtures.map(fixture => {
        fixture.setTime(ms);
        return fixture.absences.report();
      });
      fixtures.forEach((fixture, index) => {
        fixture.setTime(ms + LATE_MS);
        sent.forEach((reports, from) => {
          if (from !== index) {
            fixture.absences.merge(reports);
          }
        });
      });
    }
    const announced = fixtures.flatMap(({absences}) => absences.report());
    chai.expect(announced).eql([]);
  });
});
