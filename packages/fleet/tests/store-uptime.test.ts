import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';

const spanOf = (fromMs: number, toMs: number): fleet.TimeSpan => ({
  fromMs,
  toMs,
});

describe('StoreUptime', () => {
  it('has no start before an answer', () => {
    chai.expect(new fleet.StoreUptime().fromMs).equal(Infinity);
  });

  const cases: readonly {
    readonly what: string;
    readonly recorded: readonly fleet.TimeSpan[];
    readonly fromMs: number;
  }[] = [
    {
      what: 'spans answers that follow each other',
      recorded: [spanOf(0, 0), spanOf(2_000, 2_000), spanOf(4_000, 4_000)],
      fromMs: 0,
    },
    {
      what: 'starts again after a gap that may hide an outage',
      recorded: [spanOf(0, 0), spanOf(2_300, 2_300)],
      fromMs: 2_300,
    },
    {
      what: 'is extended by a span of a peer that closes a gap here',
      recorded: [spanOf(0, 1_000), spanOf(9_000, 9_000), spanOf(500, 8_000)],
      fromMs: 500,
    },
    {
      what: 'is not extended by a span of a peer before an outage',
      recorded: [spanOf(0, 1_000), spanOf(9_000, 9_000), spanOf(500, 6_000)],
      fromMs: 9_000,
    },
  ];

  cases.forEach(({what, recorded, fromMs}) => {
    it(what, () => {
      const uptime = new fleet.StoreUptime();
      recorded.forEach(one => {
        uptime.record(one);
      });
      chai.expect(uptime.fromMs).equal(fromMs);
    });
  });
});
