import * as chai from 'chai';
import * as platform from '@amaranthknot/platform';
import * as fixture from './gateway-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet that starts together converges, in milliseconds. */
const SETTLE_MS = 4_000;

/**
 * Time in which all instances must know that one has judged a version bad, in
 * milliseconds: a rollout completes only on a verdict that has held for longer.
 */
const KNOWN_MS = 500;

describe('the verdict that a version is bad', () => {
  for (const instances of [7, 40]) {
    it(`reaches all of ${instances} instances before one can complete it`, async () => {
      // Guards against a bad version that an instance completes, since it has
      // not heard of the evidence that another one has.
      const fleet = await virtualFleet.startVirtualFleet({instances, zones: 3});
      await fleet.clock.advance(SETTLE_MS);
      const writing = fleet.store.create(
        platform.STORE_KINDS.rollouts,
        fixture.SERVICE,
        {service: fixture.SERVICE, to: 'v2', durationS: 20},
      );
      await fleet.clock.advance(2_000);
      (await writing).unsafeCoerce();
      const tracker = fleet.live().at(-1)!.get('rollouts');
      for (let i = 0; i < 30; i++) {
        tracker.recordAttempt({
          service: fixture.SERVICE,
          version: i < 20 ? 'v1' : 'v2',
          route: 'read',
          isStream: false,
          model: undefined,
          isError: i >= 20,
          firstByteMs: 20,
        });
      }
      await fleet.clock.advance(KNOWN_MS);
      const uninformed = fleet
        .live()
        .filter(({get}) => get('rollouts').progress().length > 0)
        .filter(({get}) => get('rollouts').badVersions().length === 0);
      chai.expect(uninformed.map(({id}) => id)).eql([]);
    });
  }
});
