import * as chai from 'chai';
import * as placementFixture from './placement-fixture.js';
import * as virtualFleet from './virtual-fleet.js';

/** Time in which a fleet whose instances start together converges, in ms. */
const SETTLE_MS = 6_000;

/** Time within which all instances must know what is held, in ms. */
const KNOWN_MS = 1_000;

const PART = 'bad';

const startFleet = async (
  instances: number,
): Promise<virtualFleet.VirtualFleet> => {
  const fleet = await virtualFleet.startVirtualFleet({instances, zones: 3});
  await fleet.clock.advance(SETTLE_MS);
  return fleet;
};

/** An upstream ends that had not answered a request of an instance. */
const endUpstream = (
  {clock, live}: virtualFleet.VirtualFleet,
  instance: number,
  upstream: string,
): void => {
  const atMs = clock.now();
  const parts = [{part: PART, workspace: 'w', sentAtMs: atMs - 50}];
  live().at(instance)?.get('partQuarantine').recordEnd(upstream, atMs, parts);
};

const countHolders = ({live}: virtualFleet.VirtualFleet): number =>
  live().filter(({get}) => get('partQuarantine').heldParts.includes(PART))
    .length;

/** Ends one upstream at two instances each, so that the part is held. */
const holdPart = async (fleet: virtualFleet.VirtualFleet): Promise<void> => {
  endUpstream(fleet, 1, 'u-1/1');
  await fleet.clock.advance(200);
  endUpstream(fleet, -1, 'u-2/1');
};

describe('parts of prompts that end upstreams, over a fleet', () => {
  [3, 6, 60].forEach(instances => {
    it(`are held by all of ${instances} instances within a second`, async () => {
      // Guards against each instance that has to see the ends for itself.
      const fleet = await startFleet(instances);
      await holdPart(fleet);
      await fleet.clock.advance(KNOWN_MS);
      chai.expect(countHolders(fleet)).equal(instances);
    });
  });

  it('are released by all instances once one sees an answer begin', async () => {
    const fleet = await startFleet(6);
    await holdPart(fleet);
    await fleet.clock.advance(3_000);
    fleet.live()[3]?.get('partQuarantine').recordAnswer([PART]);
    await fleet.clock.advance(KNOWN_MS);
    chai.expect(countHolders(fleet)).equal(0);
  });

  it('are known to an instance when it serves again after a restart', async () => {
    // Guards against a hold that each restart lets a request through.
    const fleet = await startFleet(6);
    await holdPart(fleet);
    await fleet.clock.advance(KNOWN_MS);
    const id = fleet.live()[2]?.id ?? '';
    fleet.kill(id);
    await fleet.clock.advance(500);
    fleet.restart(id);
    const restarted = () => fleet.live().find(instance => instance.id === id);
    while (restarted()?.get('state').isSynced() !== true) {
      await fleet.clock.advance(10);
    }
    chai.expect(restarted()?.get('partQuarantine').heldParts).eql([PART]);
  });

  it('cost no messages while no upstream ends', async () => {
    const fleet = await startFleet(6);
    const [instance] = fleet.live();
    instance?.get('partQuarantine').recordAnswer([PART, 'other']);
    await fleet.clock.advance(1_000);
    chai.expect(instance?.get('partQuarantine').report()).eql([]);
  });
});

interface SendCase {
  readonly name: string;
  readonly isLost: boolean;
  readonly history: {
    readonly sends: number;
    readonly isCounted: boolean;
    readonly isRepeat: boolean;
    readonly hasUnreached: boolean;
    readonly runs: number;
  };
}

const FIRST = {
  sends: 0,
  isCounted: false,
  isRepeat: false,
  hasUnreached: false,
  runs: 0,
};

const SENDS: readonly SendCase[] = [
  {name: 'a first send', isLost: false, history: FIRST},
  {
    name: 'a repeat',
    isLost: false,
    history: {...FIRST, sends: 1, isCounted: true, isRepeat: true, runs: 1},
  },
  {
    name: 'a send after one that reached nothing',
    isLost: false,
    history: {...FIRST, sends: 1, isCounted: true, hasUnreached: true},
  },
  {
    name: 'a send by way of another instance',
    isLost: true,
    history: FIRST,
  },
];

describe('a request with a part that is held', () => {
  SENDS.forEach(({name, isLost, history}) => {
    it(`is refused at once: ${name}`, async () => {
      // Guards against a kind of send that passes by the hold.
      const fleet = await startFleet(3);
      await holdPart(fleet);
      await fleet.clock.advance(50);
      const instance = fleet.live().at(-1);
      if (!instance) {
        throw new Error('the fleet has no instance');
      }
      const links = instance.get('upstreamLinks');
      links.isLost = () => isLost;
      const toPlace = placementFixture.createPlacementRequest(instance, 'r');
      const parts = ['first', PART, 'own'].map(id => ({id, tokens: 100}));
      const placed = instance.get('placement').place({
        ...toPlace,
        history,
        request: {
          ...toPlace.request,
          caller: {
            ...toPlace.request.caller,
            generation: {
              promptTokens: 300,
              maxTokens: 10,
              expectedTokens: undefined,
              parts,
            },
          },
        },
      });
      const refusal = placed.swap().toMaybe().extract();
      chai.expect(refusal?.reason).equal('quarantined');
      chai.expect(refusal?.waitMs).least(10_000);
      chai.expect(refusal?.inputs['heldParts']).eql([PART]);
    });
  });
});
