import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import * as coldFixture from './cold-fixture.js';
import * as fixture from './gateway-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

const INSTANCES = 16;

/** Requests a second, over all instances. */
const LOAD_PER_S = 120;

/** Time for which an upstream is away, in milliseconds. */
const AWAY_MS = 2_000;

/** Time after its cold start by which an upstream must be used again, in ms. */
const USED_AGAIN_MS = 1_500;

/** Time for which one instance is cut off from one upstream, in milliseconds. */
const CUT_MS = 4_000;

/** Part of its usual requests that this upstream gets at least meanwhile. */
const MIN_USED = 0.5;

/** Part of all requests that is served meanwhile at least. */
const MIN_SERVED = 0.9;

const ABSENCES: readonly coldFixture.Absence[] = ['silent', 'refusing'];

describe('a cold upstream, over 16 instances', () => {
  let cold: coldFixture.ColdGateway;
  const now = () => ports.systemClock.now();

  beforeEach(async () => {
    cold = await coldFixture.startColdGateway(INSTANCES);
  });

  afterEach(async () => {
    await cold.stop();
  });

  ABSENCES.forEach(absence => {
    it(`is not flooded when it was ${absence} and the store is away`, async () => {
      // Guards against instances that take an upstream without news for warm.
      const load = cold.load(LOAD_PER_S, 9_500);
      await ports.systemClock.sleep(1_500);
      cold.gateway.store.fault = () => 'down';
      await cold.returnCold(0, absence, AWAY_MS);
      const backAtMs = now();
      const warmAtMs = backAtMs + coldFixture.COLD_START_MS;
      await ports.systemClock.sleep(coldFixture.COLD_START_MS);
      const most = cold.findMostPerS(0, backAtMs);
      chai.expect(await load, 'served').least(MIN_SERVED);
      chai.expect(most, 'in a second').most(coldFixture.MOST_PER_S);
      chai
        .expect(cold.findFirstMs(0, warmAtMs) - warmAtMs, 'used again')
        .most(USED_AGAIN_MS);
    });
  });

  it('is used soon after it was silent, when its entry says that it is cold', async () => {
    // Guards against an upstream that is back and avoided for seconds.
    const load = cold.load(LOAD_PER_S, 9_000);
    await ports.systemClock.sleep(1_500);
    await cold.returnCold(0, 'silent', AWAY_MS);
    const backAtMs = now();
    const warmAtMs = backAtMs + coldFixture.COLD_START_MS;
    await ports.systemClock.sleep(400);
    await cold.writeEntry(0);
    await ports.systemClock.sleep(coldFixture.COLD_START_MS - 400);
    const most = cold.findMostPerS(0, backAtMs);
    chai.expect(await load, 'served').least(MIN_SERVED);
    chai.expect(most, 'in a second').most(coldFixture.MOST_PER_S);
    chai
      .expect(cold.findFirstMs(0, backAtMs) - backAtMs, 'used while cold')
      .most(coldFixture.COLD_START_MS);
    chai
      .expect(cold.findFirstMs(0, warmAtMs) - warmAtMs, 'used again')
      .most(USED_AGAIN_MS);
  });

  it('is not what the others make of a warm one that one instance can not reach', async () => {
    // Guards against one instance without a link that makes all hold back.
    const load = cold.load(LOAD_PER_S, 7_000);
    await ports.systemClock.sleep(1_500);
    const before = cold.count(0, now() - 1_000, now());
    cold.cut(0, 0, true);
    const cutAtMs = now();
    await ports.systemClock.sleep(CUT_MS);
    const during = cold.count(0, cutAtMs, cutAtMs + CUT_MS);
    cold.cut(0, 0, false);
    chai.expect(await load, 'served').least(MIN_SERVED);
    chai
      .expect(during / (CUT_MS / 1_000), 'requests a second')
      .least(MIN_USED * before);
  });

  it('is not flooded when all instances start together', async () => {
    // Guards against instances that each send what one alone may send.
    await cold.load(LOAD_PER_S, 500);
    cold.makeCold(0);
    await cold.writeEntry(0);
    const fromMs = now();
    const restarts = cold.gateway.instances.map((_, index) =>
      cold.gateway.restart(index),
    );
    await Promise.all(restarts);
    await cold.load(LOAD_PER_S, 2_000);
    chai.expect(cold.findMostPerS(0, fromMs)).most(coldFixture.MOST_PER_S);
  });
});

interface SumCase {
  readonly instances: number;
  readonly coldPerS: number;
}

const SUMS: readonly SumCase[] = [
  {instances: 89, coldPerS: 14},
  {instances: 195, coldPerS: 11},
];

const UPSTREAMS = ['u-1', 'u-2'];

/** Time between two looks at the shares, in milliseconds. */
const SAMPLE_MS = 250;

const startFleet = async ({
  instances,
  coldPerS,
}: SumCase): Promise<virtualFleet.VirtualFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({
    instances,
    zones: 4,
    manifest: coldFixture.createColdManifest(coldPerS),
  });
  for (const [index, id] of UPSTREAMS.entries()) {
    const address = `127.0.0.1:${9_000 + index}`;
    const entry = fixture.createEntry(address, {coldRemainingMs: 60_000});
    const created = fleet.store.create('servers', id, entry);
    await fleet.clock.advance(10);
    await created;
  }
  return fleet;
};

/** Requests a second that all instances together may send to an upstream. */
const sumShares = (
  {live}: virtualFleet.VirtualFleet,
  upstream: string,
): number =>
  live()
    .map(({get}) => {
      const known = get('catalog').find(upstream);
      const service = get('state').activeTable()?.table.services.get('svc');
      return known && service
        ? (get('availability').describe(known, service).coldShare ?? Infinity)
        : 0;
    })
    .reduce((sum, share) => sum + share, 0);

/** The largest of these sums in a time, and that at its end. */
const watchSums = async (
  fleet: virtualFleet.VirtualFleet,
  forMs: number,
): Promise<{readonly most: number; readonly last: number}> => {
  let most = 0;
  let last = 0;
  for (let passedMs = 0; passedMs < forMs; passedMs += SAMPLE_MS) {
    await fleet.clock.advance(SAMPLE_MS);
    const sums = UPSTREAMS.map(id => sumShares(fleet, id));
    last = Math.min(...sums);
    most = Math.max(most, ...sums);
  }
  return {most, last};
};

describe('the shares of a cold upstream, over a fleet', () => {
  SUMS.forEach(sum => {
    const {instances, coldPerS} = sum;
    const {overrun, slack} = fixture.BOUNDS.cold;
    const bound = coldPerS * overrun + slack;

    it(`add up to its capacity when all of ${instances} start together`, async () => {
      // Guards against a share for each instance that knows no other one yet.
      const fleet = await startFleet(sum);
      const {most, last} = await watchSums(fleet, 8_000);
      chai.expect(most).most(bound);
      chai.expect(last, 'in the end').least(coldPerS / 2);
    });

    it(`add up to its capacity when half of ${instances} start again`, async () => {
      // Guards against shares of instances that know a part of the fleet.
      const fleet = await startFleet(sum);
      await fleet.clock.advance(8_000);
      const ids = fleet
        .live()
        .map(({id}) => id)
        .filter((_, index) => index % 2 === 0);
      ids.forEach(id => {
        fleet.kill(id);
      });
      const down = await watchSums(fleet, 600);
      ids.forEach(id => {
        fleet.restart(id);
      });
      const {most, last} = await watchSums(fleet, 6_000);
      chai.expect(Math.max(most, down.most)).most(bound);
      chai.expect(last, 'in the end').least(coldPerS / 2);
    });

    it(`add up to its capacity when two halves of ${instances} know only themselves`, () => {
      // Guards against two parts that each use the whole capacity.
      const names = Array.from({length: instances}, (_, i) => `instance-${i}`);
      const halves = [
        names.filter((_, index) => index % 2 === 0),
        names.filter((_, index) => index % 2 === 1),
      ];
      const limit = {perSecond: coldPerS, overrun, slack};
      const total = halves
        .flatMap(half =>
          half.map(self =>
            decisions.findColdShare(limit, 'u-1', self, half, 60_000),
          ),
        )
        .reduce((all, share) => all + share, 0);
      chai.expect(total).most(bound);
    });
  });
});
