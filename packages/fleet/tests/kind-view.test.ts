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

describe('KindView', () => {
  it('applies changes', () => {
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

  it('ignores a listing older than the view', () => {
    // Guards against a removed upstream that is used again because a listing
    // that was delayed on its way arrives after newer changes.
    const view = viewOf([objectOf('b', 7)], 8, 50);
    const isTaken = view.replaceAll(
      {objects: [objectOf('a', 3)], version: 4},
      90,
    );
    chai.expect(isTaken).equal(false);
    chai.expect([...view.objects.keys()]).eql(['b']);
    chai.expect(view.confirmedAtMs).equal(50);
  });

  it('keeps objects that are newer than the changes of a late watch', () => {
    // Guards against an upstream that had left and is used again, for good.
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

  it('applies a deletion whose version is that of the last change of the object', () => {
    const view = viewOf([objectOf('a', 3)], 8);
    view.applyChanges(
      {version: 9, events: [{type: 'delete', object: objectOf('a', 3)}]},
      60,
    );
    chai.expect([...view.objects.keys()]).empty;
  });

  it('is confirmed by a peer only if the contents are the same', () => {
    const view = viewOf([objectOf('a', 1)], 1, 0);
    const same = viewOf([objectOf('a', 1)], 9, 0);
    const other = viewOf([objectOf('a', 2)], 2, 0);
    chai.expect(view.confirmIfSame(other.digest, 2, 500)).equal(false);
    chai.expect(view.confirmedAtMs).equal(0);
    chai.expect(view.confirmIfSame(same.digest, 9, 500)).equal(true);
    chai.expect(view.confirmedAtMs).equal(500);
    chai.expect(view.version).equal(9);
  });

  it('is never confirmed as of an earlier time than before', () => {
    const view = viewOf([], 1, 100);
    view.confirmIfSame(view.digest, 1, 40);
    chai.expect(view.confirmedAtMs).equal(100);
  });
});
