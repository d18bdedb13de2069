import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';

const spanOf = (fromMs: number, toMs: number): fleet.TimeSpan => ({
  fromMs,
  toMs,
});

describe('span in which the store answered', () => {
  it('is not known before an answer', () => {
    chai.expect(new fleet.StoreUptime().fromMs).equal(Infinity);
  });

  const cases: readonly {
    readonly what: string;
    readonly told: readonly fleet.TimeSpan[];
    readonly fromMs: number;
  }[] = [
    {
      what: 'grows with answers that follow each other',
      told: [spanOf(0, 0), spanOf(2_000, 2_000), spanOf(4_000, 4_000)],
      fromMs: 0,
    },
    {
      what: 'begins anew after a silence that may hide an outage',
      told: [spanOf(0, 0), spanOf(2_300, 2_300)],
      fromMs: 2_300,
    },
    {
      what: 'is joined by what a peer was answered in a silence here',
      told: [spanOf(0, 1_000), spanOf(9_000, 9_000), spanOf(500, 8_000)],
      fromMs: 500,
    },
    {
      what: 'is not joined by what a peer was answered before an outage',
      told: [spanOf(0, 1_000), spanOf(9_000, 9_000), spanOf(500, 6_000)],
      fromMs: 9_000,
    },
  ];

  cases.forEach(({what, told, fromMs}) => {
    it(what, () => {
      const span = new fleet.StoreUptime();
      told.forEach(one => {
        span.record(one);
      });
      chai.expect(span.fromMs).equal(fromMs);
    });
  });
});
