import * as chai from 'chai';
import * as fleet from '@amaranthknot/fleet';
import type * as ports from '@amaranthknot/ports';

const objectOf = (name: string, version: number): ports.StoredObject => ({
  kind: 'k',
  name,
  version,
  value: {},
});

const viewOf = (
  objects: readonly ports.StoredObject[],
  version: number,
  atMs = 0,
): fleet.KindView => {
  const view = new fleet.KindView('k');
  view.replaceAll({objects, version}, atMs);
  return view;
};

describe('view of a kind', () => {
  it('takes changes in', () => {
    const view = viewOf([objectOf('a', 1), objectOf('b', 2)], 2);
    view.applyChanges(
      {
        version: 5,
        events: [
          {type: 'delete', object: objectOf('a', 4)},
          {type: 'put', object: objectOf('c', 5)},
        ],
      },
      100,
    );
    chai.expect([...view.objects.keys()]).eql(['b', 'c']);
    chai.expect(view.version).equal(5);
    chai.expect(view.confirmedAtMs).equal(100);
  });

  it('ignores a listing that is older than what it knows', () => {
    // An upstream that was removed is used again: a listing that was held up
    // on its way arrives after newer changes.
    const view = viewOf([objectOf('b', 7)], 8, 50);
    const isTaken = view.replaceAll(
      {objects: [objectOf('a', 3)], version: 4},
      90,
    );
    chai.expect(isTaken).equal(false);
    chai.expect([...view.objects.keys()]).eql(['b']);
    chai.expect(view.confirmedAtMs).equal(50);
  });

  it('keeps what is newer than the changes of a watch answered late', () => {
    // Guards against an upstream that had left being used again, for good.
    const view = viewOf([objectOf('a', 3), objectOf('b', 1)], 3);
    view.replaceAll({objects: [objectOf('a', 7)], version: 8}, 50);
    view.applyChanges(
      {
        version: 5,
        events: [
          {type: 'put', object: objectOf('a', 4)},
          {type: 'put', object: objectOf('b', 5)},
          {type: 'delete', object: objectOf('a', 5)},
        ],
      },
      60,
    );
    chai.expect([...view.objects.values()]).eql([objectOf('a', 7)]);
    chai.expect(view.version).equal(8);
  });

  it('takes in a removal that bears the version of the last change', () => {
    const view = viewOf([objectOf('a', 3)], 8);
    view.applyChanges(
      {version: 9, events: [{type: 'delete', object: objectOf('a', 3)}]},
      60,
    );
    chai.expect([...view.objects.keys()]).empty;
  });

  it('believes a peer only about the same contents', () => {
    const view = viewOf([objectOf('a', 1)], 1, 0);
    const same = viewOf([objectOf('a', 1)], 9, 0);
    const other = viewOf([objectOf('a', 2)], 2, 0);
    chai.expect(view.confirmIfSame(other.digest, 2, 500)).equal(false);
    chai.expect(view.confirmedAtMs).equal(0);
    chai.expect(view.confirmIfSame(same.digest, 9, 500)).equal(true);
    chai.expect(view.confirmedAtMs).equal(500);
    chai.expect(view.version).equal(9);
  });

  it('never grows older', () => {
    const view = viewOf([], 1, 100);
    view.confirmIfSame(view.digest, 1, 40);
    chai.expect(view.confirmedAtMs).equal(100);
  });
});
