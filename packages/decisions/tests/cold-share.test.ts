import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const LIMIT = {perSecond: 10, overrun: 1.5, slack: 5};
const CAPACITY = LIMIT.perSecond * LIMIT.overrun + LIMIT.slack;

const createNames = (count: number): readonly string[] =>
  Array.from({length: count}, (_, i) => `instance-${i}`);

/** Uptime after which an instance knows all others, in ms. */
const SETTLED_MS = 60_000;

const sumShares = (
  senders: readonly string[],
  views: (sender: string) => readonly string[],
  uptimeMs = SETTLED_MS,
): number =>
  senders
    .map(self =>
      decisions.findColdShare(LIMIT, 'upstream-1', self, views(self), uptimeMs),
    )
    .reduce((sum, share) => sum + share, 0);

describe('findColdShare', () => {
  [1, 2, 6, 7, 13, 14, 30, 90, 300, 1_000].forEach(count => {
    it(`keeps the sum within the capacity for ${count} instances`, () => {
      const names = createNames(count);
      const sum = sumShares(names, () => names);
      chai.expect(sum).within(1, CAPACITY);
    });
  });

  it('keeps the sum within the capacity when one in ten is unknown', () => {
    // A zone's upstreams come back cold while instances are being added: the
    // new instances know all others, which do not know them yet.
    const known = createNames(90);
    const newcomers = createNames(100).slice(90);
    const all = [...known, ...newcomers];
    const sum = sumShares(all, self =>
      known.includes(self) ? known : [...known, self],
    );
    chai.expect(sum).at.most(CAPACITY);
  });

  [
    {name: 'each knows only itself', uptimeMs: 200},
    {name: 'they have just learned of each other', uptimeMs: 2_500},
  ].forEach(({name, uptimeMs}) => {
    it(`keeps the sum within the capacity after a restart when ${name}`, () => {
      // All instances restarted while a zone's upstreams came back cold. Each
      // knew only itself and used the whole capacity: a cold upstream got 39
      // requests in a second with a capacity of 35.
      const names = createNames(7);
      const sum = sumShares(names, self => [self], uptimeMs);
      chai.expect(sum).within(1, CAPACITY);
    });
  });
});
