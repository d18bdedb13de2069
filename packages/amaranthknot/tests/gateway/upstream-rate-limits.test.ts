import * as chai from 'chai';
import * as placementFixture from './placement-fixture.js';
import * as placementLoad from './placement-load.js';

/**
 * Time after the limit is first announced from which it must be kept, in ms.
 */
const STABILITY_MS = 3_000;

/** Duration of the load after that, in milliseconds. */
const LOAD_MS = 12_000;

/** Time that an upstream takes to answer, in milliseconds. */
const ANSWER_MS = 50;

/** Time within which all instances must know that a limit is lifted, in ms. */
const LIFTED_KNOWN_MS = 6_000;

/**
 * Window over which arrivals are counted, in seconds, and the most arrivals
 * that are allowed in one.
 */
const WINDOW_S = 4;
const findAllowedArrivals = (perSecond: number): number =>
  1.5 * WINDOW_S * perSecond + 5;

const LIMITED = 'limited';
const UPSTREAMS = [LIMITED, 'free-1', 'free-2', 'free-3'];

/** A fleet with one upstream that announces a rate limit. */
interface LimitedFleet extends placementLoad.PlacementLoad {
  /** Requests per second that the upstream announces; undefined: no limit. */
  limit: number | undefined;
  /** Arrival times at the limited upstream, in milliseconds. */
  readonly arrivals: number[];
}

const startFleet = async (instances: number): Promise<LimitedFleet> => {
  const arrivals: number[] = [];
  const answer = async ({
    instance: {get},
    placed,
  }: placementLoad.SentRequest): Promise<void> => {
    const {id} = placed.upstream;
    if (id === LIMITED) {
      arrivals.push(limited.clock.now());
    }
    await limited.clock.sleep(ANSWER_MS);
    get('limits').record(id, id === LIMITED ? limited.limit : undefined);
    placed.settle('answered');
  };
  const fleet = await placementLoad.startPlacementLoad({
    instances,
    upstreams: UPSTREAMS,
    answer: sent => void answer(sent),
  });
  const limited: LimitedFleet = {...fleet, limit: undefined, arrivals};
  return limited;
};

/** Maximum arrivals in any window after `fromMs`. */
const findMaxArrivals = (arrivals: readonly number[], fromMs: number): number =>
  Math.max(
    0,
    ...arrivals.map(
      (endMs, index) =>
        arrivals
          .slice(0, index + 1)
          .filter(atMs => atMs >= fromMs && atMs > endMs - WINDOW_S * 1_000)
          .length,
    ),
  );

describe('an upstream that announces a rate limit', () => {
  const cases: readonly {
    readonly instances: number;
    readonly limit: number;
    readonly perSecond: number;
  }[] = [
    {instances: 6, limit: 1.1, perSecond: 40},
    {instances: 6, limit: 0.2, perSecond: 40},
    {instances: 6, limit: 15, perSecond: 200},
    {instances: 73, limit: 1.1, perSecond: 150},
  ];

  cases.forEach(({instances, limit, perSecond}) => {
    it(`gets no more than ${limit} requests per second from ${instances} instances`, async () => {
      // Guards against instances that ignore the limit of an overloaded engine.
      const fleet = await startFleet(instances);
      fleet.limit = limit;
      await fleet.load(perSecond, STABILITY_MS);
      const fromMs = fleet.clock.now();
      await fleet.load(perSecond, LOAD_MS);
      chai
        .expect(findMaxArrivals(fleet.arrivals, fromMs))
        .most(findAllowedArrivals(limit));
      chai.expect(fleet.refusals).length(0);
    });
  });

  it('gets no more when its entry lapses and returns', async () => {
    // Guards against a limit that is forgotten with a lapsed entry.
    const fleet = await startFleet(6);
    fleet.limit = 1.1;
    await fleet.load(100, STABILITY_MS);
    const fromMs = fleet.clock.now();
    await placementLoad.lapseAndReturn(fleet, LIMITED);
    await fleet.load(1_000, 1_000);
    chai
      .expect(findMaxArrivals(fleet.arrivals, fromMs))
      .most(findAllowedArrivals(1.1));
  });

  it('is used up to its limit', async () => {
    const fleet = await startFleet(6);
    fleet.limit = 15;
    await fleet.load(200, STABILITY_MS);
    const before = fleet.arrivals.length;
    await fleet.load(200, LOAD_MS);
    const perSecond = (fleet.arrivals.length - before) / (LOAD_MS / 1_000);
    chai.expect(perSecond).within(0.7 * 15, 15);
  });

  it('gets its share of the load soon after the limit is lifted', async () => {
    // An instance whose share is zero sends it nothing, and learns only from
    // the instances that still do.
    const fleet = await startFleet(24);
    fleet.limit = 1.1;
    await fleet.load(100, 6_000);
    fleet.limit = undefined;
    await fleet.load(100, LIFTED_KNOWN_MS);
    const before = fleet.arrivals.length;
    await fleet.load(100, 4_000);
    chai.expect(fleet.arrivals.length - before).above(0.5 * 4 * (100 / 4));
  });
});

describe('a service whose upstreams have all reached their limits', () => {
  it('names the time at which the first takes a request again', async () => {
    // Guards against callers that come back too early and are refused again.
    const fleet = await startFleet(1);
    const instance = placementLoad.getOnlyInstance(fleet);
    const place = () =>
      instance
        .get('placement')
        .place(placementFixture.createPlacementRequest(instance, 'request'));
    UPSTREAMS.forEach(id => {
      instance.get('limits').record(id, 1);
    });
    const sends = Array.from({length: WINDOW_S * UPSTREAMS.length}, place);
    chai.expect(sends.every(placed => placed.isRight())).equal(true);
    const refused = place().swap().toMaybe().extract();
    chai.expect(refused?.waitMs).equal(WINDOW_S * 1_000);
    await fleet.clock.advance(WINDOW_S * 1_000 - 1);
    chai.expect(place().isLeft()).equal(true);
    await fleet.clock.advance(1);
    chai.expect(place().isRight()).equal(true);
  });
});
