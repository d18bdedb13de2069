import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const createIds = (count: number): readonly string[] =>
  Array.from({length: count}, (_, i) => `instance-${i}`);

describe('rankByRendezvous', () => {
  const cases = [
    {name: 'no ids', ids: [], count: 3, length: 0},
    {name: 'fewer than asked for', ids: createIds(2), count: 3, length: 2},
    {name: 'more than asked for', ids: createIds(9), count: 3, length: 3},
  ];
  for (const {name, ids, count, length} of cases) {
    it(`returns ${length} of ${name}`, () => {
      chai
        .expect(decisions.rankByRendezvous('key', ids, count))
        .lengthOf(length);
    });
  }

  it('does not depend on the order of its input', () => {
    const ids = createIds(50);
    const reversed = [...ids].reverse();
    chai
      .expect(decisions.rankByRendezvous('key', reversed))
      .deep.equal(decisions.rankByRendezvous('key', ids));
  });

  it('keeps the order of the other ids when one is removed', () => {
    const ids = createIds(50);
    const ranked = decisions.rankByRendezvous('key', ids);
    const remaining = ids.filter(id => id !== ranked[7]);
    chai
      .expect(decisions.rankByRendezvous('key', remaining))
      .deep.equal(ranked.filter(id => id !== ranked[7]));
  });

  it('ranks an id with twice the weight first twice as often', () => {
    const items = [
      {id: 'large', weight: 2},
      {id: 'a', weight: 1},
      {id: 'b', weight: 1},
    ];
    let large = 0;
    for (let key = 0; key < 10_000; key++) {
      large +=
        decisions.rankByWeight(`key-${key}`, items)[0] === 'large' ? 1 : 0;
    }
    chai.expect(large).within(4_800, 5_200);
  });

  it('spreads first places evenly', () => {
    const ids = createIds(10);
    const firsts = new Map<string, number>();
    for (let key = 0; key < 10_000; key++) {
      const [first] = decisions.rankByRendezvous(`key-${key}`, ids, 1);
      firsts.set(first!, (firsts.get(first!) ?? 0) + 1);
    }
    for (const id of ids) {
      chai.expect(firsts.get(id)).within(850, 1150);
    }
  });
});
