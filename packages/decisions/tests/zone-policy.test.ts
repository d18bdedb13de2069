import * as chai from 'chai';
import * as decisions from '../src/index.js';

const TIMING = decisions.ZONE_TIMING;

const takeOut = (): decisions.ZoneStatus =>
  decisions.setZoneState(decisions.ZONE_IN, 'out', 1_000);

const bringBack = (absenceMs: number): decisions.ZoneStatus =>
  decisions.setZoneState(takeOut(), 'in', 1_000 + absenceMs);

describe('zone policy', () => {
  const cases = [
    {name: 'never out', status: decisions.ZONE_IN, at: 0, weight: 1},
    {name: 'out', status: takeOut(), at: 5_000, weight: 0},
    {name: 'just back', status: bringBack(600_000), at: 601_000, weight: 0},
    {name: 'mid-ramp', status: bringBack(600_000), at: 631_000, weight: 0.5},
    {name: 'past its ramp', status: bringBack(600_000), at: 700_000, weight: 1},
    {
      name: 'mid-ramp after a short absence',
      status: bringBack(60_000),
      at: 68_500,
      weight: 0.5,
    },
  ];
  for (const {name, status, at, weight} of cases) {
    it(`gives a zone that is ${name} weight ${weight}`, () => {
      chai
        .expect(decisions.findZoneWeight(status, at, TIMING))
        .to.equal(weight);
    });
  }

  it('does not restart a ramp when the state is applied again', () => {
    const back = bringBack(600_000);
    chai.expect(decisions.setZoneState(back, 'in', 650_000)).to.equal(back);
  });

  it('gives up homes only after the grace time', () => {
    const out = takeOut();
    const end = 1_000 + TIMING.graceMs;
    chai.expect(decisions.keepsHome(out, end, TIMING)).to.equal(true);
    chai.expect(decisions.keepsHome(out, end + 1, TIMING)).to.equal(false);
  });
});

describe('judgeFreshness', () => {
  const view: decisions.ConfirmationView = {
    confirmedAgoMs: 60_000,
    agreedAgoMs: 500,
    peersHeard: 6,
    peersKnown: 6,
  };
  const cases: readonly {
    readonly name: string;
    readonly change: Partial<decisions.ConfirmationView>;
    readonly expected: decisions.Freshness;
  }[] = [
    {
      name: 'the platform confirms',
      change: {confirmedAgoMs: 2_000, peersHeard: 0, agreedAgoMs: 60_000},
      expected: 'confirmed',
    },
    {name: 'all peers agree', change: {}, expected: 'platform_out'},
    {
      name: 'a majority of instances is reachable',
      change: {peersHeard: 3},
      expected: 'platform_out',
    },
    {
      name: 'a minority of instances is reachable',
      change: {peersHeard: 2},
      expected: 'isolated',
    },
    {
      name: 'no peer is reachable',
      change: {peersHeard: 0},
      expected: 'isolated',
    },
    {
      name: 'peers have another generation',
      change: {agreedAgoMs: 2_001},
      expected: 'isolated',
    },
  ];
  for (const {name, change, expected} of cases) {
    it(`is ${expected} when ${name}`, () => {
      const freshness = decisions.judgeFreshness({...view, ...change});
      chai.expect(freshness).to.equal(expected);
      const may = decisions.mayStartWork(freshness);
      chai.expect(may).to.equal(expected !== 'isolated');
    });
  }
});
