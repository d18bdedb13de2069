import * as chai from 'chai';
import * as decisions from '../src/index.js';

const CURVE = {coldSlots: 4, fullSlots: 64, warmMs: 60_000};
const TIMING = {termMs: 1_000, drainMs: 5_000, viewLagMs: 3_000};

const ask = (
  issuer: decisions.WarmUpIssuer,
  instance: string,
  nowMs: number,
  inFlight = 0,
  wanted = 64,
) =>
  decisions.issueGrant(
    issuer,
    {instance, wanted, inFlight},
    nowMs,
    CURVE,
    TIMING,
  );

describe('findWarmUpSlots', () => {
  const cases = [
    {ageMs: -1, slots: 4},
    {ageMs: 0, slots: 4},
    {ageMs: 30_000, slots: 34},
    {ageMs: 60_000, slots: 64},
    {ageMs: Infinity, slots: 64},
  ];
  for (const {ageMs, slots} of cases) {
    it(`is ${slots} slots at ${ageMs} ms`, () => {
      chai.expect(decisions.findWarmUpSlots(CURVE, ageMs)).to.equal(slots);
    });
  }
});

describe('issueGrant', () => {
  it('never grants more than the capacity to many instances', () => {
    let issuer = decisions.createInitialIssuer(0);
    let sum = 0;
    for (let i = 0; i < 20; i++) {
      const answer = ask(issuer, `entry-${i}`, 0);
      issuer = answer.issuer;
      sum += answer.grant.slots;
    }
    chai.expect(sum).to.equal(4);
  });

  // The holder of all slots becomes unreachable with requests in progress. Its
  // slots may be granted again only when these have certainly ended.
  it('holds the slots of an unreachable holder until its drain ends', () => {
    const {issuer} = ask(decisions.createInitialIssuer(0), 'a', 0);
    chai.expect(ask(issuer, 'b', 5_900).grant.slots).to.equal(5);
    chai.expect(ask(issuer, 'b', 6_000).grant.slots).to.equal(10);
  });

  // If the answer with a smaller grant is lost, the holder uses the larger one
  // until it ends. Freeing the difference at once would exceed the capacity.
  it('frees no slots for a smaller grant, whose answer may be lost', () => {
    const first = ask(decisions.createInitialIssuer(0), 'a', 0);
    chai.expect(first.grant.slots).to.equal(4);
    const smaller = ask(first.issuer, 'a', 500, 0, 1);
    chai.expect(smaller.grant.slots).to.equal(1);
    chai.expect(ask(smaller.issuer, 'b', 600).grant.slots).to.equal(0);
  });

  it('frees the slots of a holder that wants none before its drain', () => {
    const first = ask(decisions.createInitialIssuer(0), 'a', 0);
    const released = ask(first.issuer, 'a', 500, 0, 0);
    const answer = ask(released.issuer, 'b', 2_100);
    chai.expect(answer.grant.slots).to.be.at.least(4);
  });

  it('grants nothing after a takeover until earlier grants drained', () => {
    const issuer = decisions.createSuccessorIssuer(0, 10_000, TIMING);
    chai.expect(ask(issuer, 'a', 18_999).grant.slots).to.equal(0);
    chai.expect(ask(issuer, 'a', 19_000).grant.slots).to.be.above(0);
  });

  it('grants nothing after a reset while used grants exceed capacity', () => {
    const warm = ask(decisions.createInitialIssuer(-60_000), 'a', 0);
    const cold = decisions.resetIssuer(warm.issuer, 100);
    chai.expect(ask(cold, 'b', 200).grant.slots).to.equal(0);
  });
});

describe('mayIssueGrants', () => {
  const instances = ['a', 'b', 'c'];
  const [first = ''] = decisions.rankByRendezvous('u', instances, 1);
  const [, second = ''] = decisions.rankByRendezvous('u', instances, 2);
  const view = {instances, confirmedAtMs: 10_000, memberSinceMs: 0};
  const cases = [
    {name: 'the instance ranked first', self: first, view, expected: true},
    {name: 'the instance ranked second', self: second, view, expected: false},
    {
      name: 'an instance whose view is old',
      self: first,
      view: {...view, confirmedAtMs: 6_000},
      expected: false,
    },
    {
      name: 'an instance that others may not know yet',
      self: first,
      view: {...view, memberSinceMs: 9_000},
      expected: false,
    },
  ];
  for (const {name, self, view: known, expected} of cases) {
    it(`is ${expected} for ${name}`, () => {
      const may = decisions.mayIssueGrants('u', self, known, 10_000, TIMING);
      chai.expect(may).to.equal(expected);
    });
  }
});

describe('ColdDetector', () => {
  const answer = (firstTokenMs: number): decisions.UpstreamObservation => ({
    kind: 'answer',
    firstTokenMs,
  });
  const report = (startedAtMs: number): decisions.UpstreamObservation => ({
    kind: 'report',
    startedAtMs,
  });
  const typical = [report(5), answer(100), answer(110)];
  const cases: readonly {
    readonly name: string;
    readonly observations: readonly decisions.UpstreamObservation[];
    readonly isCold: boolean;
  }[] = [
    {name: 'a typical answer', observations: [answer(120)], isCold: false},
    {
      name: 'two slow answers',
      observations: [answer(900), answer(900)],
      isCold: false,
    },
    {
      name: 'three consecutive slow answers',
      observations: [answer(900), answer(900), answer(900)],
      isCold: true,
    },
    {
      name: 'three slow answers with a typical one between them',
      observations: [answer(900), answer(900), answer(90), answer(900)],
      isCold: false,
    },
    {
      name: 'a refusal for being cold',
      observations: [{kind: 'refusal', reason: 'cold'}],
      isCold: true,
    },
    {
      name: 'a refusal for being full',
      observations: [{kind: 'refusal', reason: 'full'}],
      isCold: false,
    },
    {name: 'the same start reported', observations: [report(5)], isCold: false},
    {name: 'a later start reported', observations: [report(6)], isCold: true},
  ];
  for (const {name, observations, isCold} of cases) {
    it(`is ${isCold ? 'cold' : 'warm'} after ${name}`, () => {
      const warm = decisions.markWarm(decisions.createColdDetector());
      const seen = [...typical, ...observations].reduce(
        decisions.observeUpstream,
        warm,
      );
      chai.expect(seen.isCold).to.equal(isCold);
    });
  }

  it('is cold for an unknown upstream', () => {
    chai.expect(decisions.createColdDetector().isCold).to.equal(true);
  });
});
