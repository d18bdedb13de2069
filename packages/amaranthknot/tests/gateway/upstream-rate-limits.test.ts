import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import type * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as placementFixture from './placement-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/**
 * Time after the limit is first announced from which it must be kept, in ms.
 */
const STABILITY_MS = 3_000;

/** Duration of the load after that, in milliseconds. */
const LOAD_MS = 12_000;

/**
 * Step of the load, and time that an upstream takes to answer, in milliseconds.
 */
const STEP_MS = 10;
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
interface LimitedFleet extends virtualFleet.VirtualFleet {
  /** Requests per second that the upstream announces; undefined: no limit. */
  limit: number | undefined;
  /** Arrival times at the limited upstream, in milliseconds. */
  readonly arrivals: number[];
  /** Number of requests that could not be placed. */
  readonly unplaced: () => number;
  /** Sends requests at a rate for `forMs`, each to a random instance. */
  readonly load: (perSecond: number, forMs: number) => Promise<void>;
}

const startFleet = async (instances: number): Promise<LimitedFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({instances, zones: 3});
  const {clock, store, live} = fleet;
  const registered = UPSTREAMS.map((name, index) =>
    store.create(
      platform.STORE_KINDS.upstreams,
      name,
      fixture.createEntry(`192.0.2.${index}:80`),
    ),
  );
  await clock.advance(SETTLE_MS);
  await Promise.all(registered);
  const random = fakes.createRandom(instances);
  const arrivals: number[] = [];
  let sent = 0;
  let unplaced = 0;

  const answer = async (
    {get}: virtualFleet.VirtualInstance,
    placed: gateway.PlacedAttempt,
  ): Promise<void> => {
    await clock.sleep(ANSWER_MS);
    const {id} = placed.upstream;
    get('limits').record(id, id === LIMITED ? limited.limit : undefined);
    placed.settle('answered');
  };
  const sendOne = (): void => {
    const running = live();
    const instance = running[Math.floor(random() * running.length)];
    if (!instance) {
      return;
    }
    sent++;
    instance
      .get('placement')
      .place(
        placementFixture.createPlacementRequest(instance, `request-${sent}`),
      )
      .caseOf({
        Left: () => {
          unplaced++;
        },
        Right: placed => {
          if (placed.upstream.id === LIMITED) {
            arrivals.push(clock.now());
          }
          void answer(instance, placed);
        },
      });
  };
  const limited: LimitedFleet = {
    ...fleet,
    limit: undefined,
    arrivals,
    unplaced: () => unplaced,
    load: async (perSecond, forMs) => {
      for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
        const due = (perSecond * STEP_MS) / 1_000;
        const count = Math.floor(due) + (random() < due % 1 ? 1 : 0);
        Array.from({length: count}, sendOne);
        await clock.advance(STEP_MS);
      }
    },
  };
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
      chai.expect(fleet.unplaced()).equal(0);
    });
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
