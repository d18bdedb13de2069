import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as fakes from '@amaranthknot/fakes';

/** Maximum number of addresses in one answer. */
const LIMIT = 64;

interface FleetCase {
  readonly name: string;
  /** Number of instances in each zone. */
  readonly zones: readonly number[];
}

const createFleet = (
  zones: readonly number[],
): readonly decisions.DirectoryCandidate[] =>
  zones.flatMap((count, zone) =>
    Array.from({length: count}, (_, i) => ({
      id: `instance-${zone}-${i}`,
      zone: `zone-${zone}`,
      region: 'north',
      cores: i % 10 === 0 ? 1.35 : 0.3,
    })),
  );

const createCaller = (zone: number, index = 0): decisions.DirectoryCaller => ({
  zone: `zone-${zone}`,
  region: 'north',
  key: `10.9.${zone}.${index}`,
});

/** Requests by instance, from callers that choose a listed one at random. */
const countRequests = (
  fleet: readonly decisions.DirectoryCandidate[],
  zones: number,
): ReadonlyMap<string, number> => {
  const random = fakes.createRandom(7);
  const counts = new Map(fleet.map(({id}) => [id, 0]));
  for (let zone = 0; zone < zones; zone++) {
    for (let index = 0; index < 500; index++) {
      const caller = createCaller(zone, index);
      const listed = decisions.chooseAddresses(fleet, caller, LIMIT);
      for (let draw = 0; draw < 20; draw++) {
        const {id = ''} = listed[Math.floor(random() * listed.length)] ?? {};
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
  }
  return counts;
};

describe('chooseAddresses', () => {
  const fleets: readonly FleetCase[] = [
    {name: '7 in three zones', zones: [3, 2, 2]},
    {name: '73 in three zones', zones: [25, 24, 24]},
    {name: '195 in six zones', zones: [34, 34, 36, 32, 29, 30]},
    {name: '1,000 in nine zones', zones: Array(9).fill(111) as number[]},
  ];
  for (const {name, zones} of fleets) {
    it(`spreads callers over all instances: ${name}`, () => {
      // When all callers were given the same 64 of 195 instances, these took
      // two thirds of all requests.
      const counts = [
        ...countRequests(createFleet(zones), zones.length).values(),
      ];
      const mean =
        counts.reduce((sum, count) => sum + count, 0) / counts.length;
      chai.expect(Math.max(...counts)).below(2 * mean);
      chai.expect(Math.min(...counts)).above(0.4 * mean);
    });
  }

  it("lists only the caller's zone if that has enough instances", () => {
    const fleet = createFleet([30, 30, 30]);
    const listed = decisions.chooseAddresses(fleet, createCaller(1), LIMIT);
    chai.expect(listed.map(({zone}) => zone)).eql(Array(30).fill('zone-1'));
  });

  it('does not depend on the order of the candidates', () => {
    // Instances know each other in different orders. A caller closes its
    // connections to instances that a later answer no longer lists.
    const fleet = createFleet([100, 100]);
    const caller = createCaller(0, 3);
    const idsOf = (known: readonly decisions.DirectoryCandidate[]) =>
      decisions
        .chooseAddresses(known, caller, LIMIT)
        .map(({id}) => id)
        .sort();
    chai.expect(idsOf([...fleet].reverse())).eql(idsOf(fleet));
  });

  it('replaces one address when one instance is lost', () => {
    const fleet = createFleet([100, 100]);
    const caller = createCaller(0, 3);
    const before = decisions.chooseAddresses(fleet, caller, LIMIT);
    const [lost] = before;
    const left = fleet.filter(({id}) => id !== lost?.id);
    const after = decisions.chooseAddresses(left, caller, LIMIT);
    const kept = after.filter(found => before.includes(found));
    chai.expect(kept).length(LIMIT - 1);
  });

  it('adds other zones when a zone has lost most of its instances', () => {
    // Otherwise all callers of the zone go to the two instances that remain.
    const fleet = createFleet([30, 30, 30]);
    const left = fleet.filter(
      ({id, zone}) => zone !== 'zone-0' || /-[12]$/.test(id),
    );
    const counts = countRequests(left, 3);
    const mean = (3 * 500 * 20) / left.length;
    chai.expect(Math.max(...counts.values())).below(2.5 * mean);
  });

  it('lists the whole fleet if that is small', () => {
    const fleet = createFleet([2, 2, 1, 1]);
    const listed = decisions.chooseAddresses(fleet, createCaller(3), LIMIT);
    chai.expect(listed).length(6);
  });

  it("lists only the caller's region unless that has no instances", () => {
    const fleet = createFleet([3, 40]).map(found => ({
      ...found,
      region: found.zone === 'zone-0' ? 'north' : 'south',
    }));
    const listed = decisions.chooseAddresses(fleet, createCaller(0), LIMIT);
    chai.expect(listed.map(({region}) => region)).eql(Array(3).fill('north'));
    const south = fleet.filter(({region}) => region === 'south');
    chai
      .expect(decisions.chooseAddresses(south, createCaller(0), LIMIT))
      .length(40);
  });
});
