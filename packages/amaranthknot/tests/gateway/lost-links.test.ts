import * as chai from 'chai';
import * as fixture from './gateway-fixture.js';
import * as links from './links-fixture.js';

/** Time after the start of a cut from which callers must be served, in ms. */
const {stabilityMs: STABILITY_MS} = fixture.BOUNDS.change;

/** Duration of the load that is measured, in milliseconds. */
const MEASURED_MS = 1_500;

/** Least part of the first tries that is served there, relative to others. */
const MIN_SERVED_RATIO = 2 / 3;

const CUT_KINDS: readonly links.CutKind[] = [
  'hang',
  'reset',
  'new_refused',
  'one_way',
];

const findServedFraction = (
  sent: readonly links.SentRequest[],
  kind: links.Kind,
): number => {
  const ofKind = sent.filter(request => request.kind === kind);
  return ofKind.filter(({isServed}) => isServed).length / ofKind.length;
};

/** Expects that of each kind nearly as many are served there as elsewhere. */
const expectServed = (
  there: readonly links.SentRequest[],
  elsewhere: readonly links.SentRequest[],
): void => {
  links.KINDS.forEach(kind => {
    chai
      .expect(findServedFraction(there, kind), kind)
      .least(MIN_SERVED_RATIO * findServedFraction(elsewhere, kind));
  });
};

const countMostRuns = (
  runs: readonly string[],
  sent: readonly links.SentRequest[],
): number => {
  const bookings = sent.filter(({kind}) => kind === 'book');
  return Math.max(
    0,
    ...bookings.map(({id}) => runs.filter(run => run === id).length),
  );
};

describe('an instance that loses its links to all upstreams', () => {
  let linked: links.LinkedGateway;

  afterEach(async () => {
    await linked.stop();
  });

  CUT_KINDS.forEach(kind => {
    it(`serves its callers nearly as well as others do: links cut by ${kind}`, async () => {
      // Guards against callers who are refused though another instance has links.
      linked = await links.startLinkedGateway(3);
      await linked.load(0, 500);
      linked.cut(0, kind);
      const before = await linked.load(0, STABILITY_MS);
      const [there, elsewhere] = await Promise.all([
        linked.load(0, MEASURED_MS),
        linked.load(1, MEASURED_MS),
      ]);
      expectServed(there, elsewhere);
      chai
        .expect(countMostRuns(linked.findRuns(), [...before, ...there]))
        .most(1);
    });
  });

  it('serves its callers when two of three instances lost their links', async () => {
    // Guards against instances that pass requests to each other in a circle.
    linked = await links.startLinkedGateway(3);
    await linked.load(0, 300);
    linked.cut(0, 'hang');
    linked.cut(1, 'reset');
    await Promise.all([
      linked.load(0, STABILITY_MS),
      linked.load(1, STABILITY_MS),
    ]);
    const [first, second, third] = await Promise.all([
      linked.load(0, MEASURED_MS),
      linked.load(1, MEASURED_MS),
      linked.load(2, MEASURED_MS),
    ]);
    expectServed(first, third);
    expectServed(second, third);
  });

  it('is turned away by an instance that is busy, and by no other', async () => {
    // Guards against the few with links, overloaded with the requests of all.
    linked = await links.startLinkedGateway(3, 3, [0, 0.9, 0.3]);
    await linked.load(0, 2_000);
    linked.cut(0, 'reset');
    await linked.load(0, STABILITY_MS);
    const [there, busy] = await Promise.all([
      linked.load(0, MEASURED_MS),
      linked.load(1, MEASURED_MS),
    ]);
    expectServed(there, busy);
    linked.cut(2, 'reset');
    await Promise.all([
      linked.load(0, STABILITY_MS),
      linked.load(2, STABILITY_MS),
    ]);
    const [refused, own] = await Promise.all([
      linked.load(0, MEASURED_MS),
      linked.load(1, MEASURED_MS),
    ]);
    chai.expect(refused.some(({isServed}) => isServed)).equal(false);
    chai.expect(own.every(({isServed}) => isServed)).equal(true);
  });
});
