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
    [7, 16, 89, 195, 1_000].forEach(count => {
      it(`keeps the sum within the capacity after a restart of ${count} when ${name}`, () => {
        // Guards against instances that each use what one alone may use.
        const names = createNames(count);
        const sum = sumShares(names, self => [self], uptimeMs);
        chai.expect(sum).at.most(CAPACITY);
      });
    });
  });

  it('leaves what it bears to the others when half of the instances restart', () => {
    // Guards against a cold upstream that gets nothing for seconds.
    const names = createNames(16);
    const stayed = names.slice(8);
    chai.expect(sumShares(stayed, () => names)).least(1);
  });

  [2, 6, 7, 89, 195].forEach(count => {
    it(`keeps the sum within the capacity when halves of ${count} know only themselves`, () => {
      // Guards against two parts that each use the whole capacity.
      const names = createNames(count);
      const half = Math.ceil(count / 2);
      const parts = [names.slice(0, half), names.slice(half)];
      const sum = parts
        .map(part => sumShares(part, () => part))
        .reduce((a, b) => a + b, 0);
      chai.expect(sum).within(LIMIT.perSecond / 2, CAPACITY);
    });
  });
});
