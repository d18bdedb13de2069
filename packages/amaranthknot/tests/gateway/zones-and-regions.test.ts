import * as chai from 'chai';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as placementFixture from './placement-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/** Upstreams and their zones. */
const UPSTREAMS = [
  ['near-1', 'zone-0'],
  ['near-2', 'zone-0'],
  ['far-1', 'zone-1'],
  ['far-2', 'zone-1'],
] as const;

const EVACUATIONS = platform.STORE_KINDS.evacuations;

/** Number of requests that each instance places. */
const REQUESTS = 20;

const startFleet = async (): Promise<virtualFleet.VirtualFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({instances: 24, zones: 2});
  const registered = UPSTREAMS.map(([name, zone], index) =>
    fleet.store.create(
      platform.STORE_KINDS.upstreams,
      name,
      fixture.createEntry(`192.0.2.${index}:80`, {zone}),
    ),
  );
  await fleet.clock.advance(SETTLE_MS);
  await Promise.all(registered);
  return fleet;
};

/** Places requests on all instances; returns the upstreams that got one. */
const placeEverywhere = (
  {live}: virtualFleet.VirtualFleet,
  regions: readonly string[] = [],
): ReadonlySet<string> => {
  const used = live().flatMap(instance =>
    Array.from({length: REQUESTS}, (_, index) => {
      const request = placementFixture.createPlacementRequest(
        instance,
        `${instance.id}-${index}`,
        {allowedRegions: regions},
      );
      const placed = instance.get('placement').place(request);
      placed.ifRight(({settle}) => {
        settle('answered');
      });
      return placed.map(({upstream}) => upstream.id).orDefault('none');
    }),
  );
  return new Set(used);
};

describe('an evacuated zone', () => {
  it('gets no new requests within the bound, and gets them again when it is back', async () => {
    // Guards against requests that still go to upstreams which are to be
    // drained.
    const fleet = await startFleet();
    chai.expect(placeEverywhere(fleet).size).equal(UPSTREAMS.length);
    const created = fleet.store.create(EVACUATIONS, 'zone-0', {});
    await fleet.clock.advance(fixture.BOUNDS.change.evacuationMs);
    const out = (await created).unsafeCoerce();
    chai.expect([...placeEverywhere(fleet)].sort()).eql(['far-1', 'far-2']);
    const removed = fleet.store.delete(EVACUATIONS, 'zone-0', out.version);
    await fleet.clock.advance(fixture.BOUNDS.change.evacuationMs);
    await removed;
    chai.expect(placeEverywhere(fleet).size).equal(UPSTREAMS.length);
  });
});

describe('a route with allowed regions', () => {
  it('is placed only in its allowed regions', async () => {
    const fleet = await startFleet();
    chai.expect(placeEverywhere(fleet, ['north']).has('none')).equal(false);
    chai.expect([...placeEverywhere(fleet, ['south'])]).eql(['none']);
  });
});
