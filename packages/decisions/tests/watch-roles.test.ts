import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const createMembers = (
  counts: Readonly<Record<string, number>>,
): readonly decisions.WatchCandidate[] =>
  Object.entries(counts).flatMap(([zone, count]) =>
    Array.from({length: count}, (_, i) => ({
      id: `${zone}-${i}`,
      zone,
      cores: 1,
    })),
  );

describe('who watches the store', () => {
  const fleets: readonly {
    readonly name: string;
    readonly counts: Readonly<Record<string, number>>;
    readonly watchers: number;
  }[] = [
    {name: 'one instance', counts: {a: 1}, watchers: 1},
    {name: 'seven in three zones', counts: {a: 3, b: 2, c: 2}, watchers: 2},
    {
      name: '88 in four zones',
      counts: {a: 22, b: 22, c: 22, d: 22},
      watchers: 4,
    },
    {
      name: '300 in three zones',
      counts: {a: 100, b: 100, c: 100},
      watchers: 13,
    },
  ];

  fleets.forEach(({name, counts, watchers}) => {
    it(`is ${watchers} of ${name}`, () => {
      const members = createMembers(counts);
      const found = decisions.findWatchers(members);
      chai.expect(found).length(watchers);
      chai.expect(new Set(found).size).equal(watchers);
    });
  });

  it('are spread over all zones', () => {
    // A zone loses its power. Were all watchers in it, every instance would
    // list the store by itself until it has heard that they are gone.
    const members = createMembers({a: 2, b: 2, c: 3});
    const zones = decisions.findWatchers(members).map(id => id.split('-')[0]);
    chai.expect(new Set(zones).size).equal(zones.length);
  });

  it('are mostly the larger instances', () => {
    // A watcher on the least of machines had two thirds of its core used up,
    // and its own callers waited.
    const members = createMembers({a: 96, b: 96}).map((member, index) => ({
      ...member,
      cores: index % 8 === 0 ? 1.35 : 0.3,
    }));
    const large = members.filter(({cores}) => cores > 1).map(({id}) => id);
    const found = decisions.findWatchers(members);
    const foundLarge = found.filter(id => large.includes(id));
    chai.expect(foundLarge.length).above(found.length / 8);
  });

  it('asks its own zone first, and never itself', () => {
    const members = createMembers({a: 30, b: 30});
    for (const self of members) {
      const sources = decisions.rankSources(self, members);
      const isNear = (id: string) => id.startsWith(self.zone);
      const watchers = decisions.findWatchers(members);
      const tellers = watchers.includes(self.id)
        ? decisions.findStoreWatchers(watchers)
        : watchers;
      const near = tellers.filter(id => isNear(id) && id !== self.id);
      chai.expect(sources).not.include(self.id);
      chai.expect(sources.slice(0, near.length).every(isNear)).equal(true);
      chai.expect(sources).include.members([...near]);
    }
  });

  it('are a few for the store, however many instances there are', () => {
    // Each watcher had a watch open for each kind: the store's calls grew with
    // the fleet.
    const counts = [7, 88, 195, 1_000].map(count => {
      const members = createMembers({a: count, b: count, c: count});
      const watchers = decisions.findWatchers(members);
      const own = decisions.findStoreWatchers(watchers);
      chai.expect(new Set(own.map(id => id.split('-')[0])).size).above(1);
      return own.length;
    });
    chai.expect(counts).eql([2, 3, 3, 3]);
  });

  it('are told by those that watch the store, where they do not', () => {
    const members = createMembers({a: 100, b: 100, c: 100});
    const watchers = decisions.findWatchers(members);
    const own = decisions.findStoreWatchers(watchers);
    for (const id of watchers.filter(watcher => !own.includes(watcher))) {
      const self = members.find(member => member.id === id)!;
      chai.expect(decisions.rankSources(self, members)).members([...own]);
    }
  });

  it('spreads the instances of a zone over its watchers', () => {
    const members = createMembers({a: 96});
    const watchers = decisions.findWatchers(members);
    const load = new Map(watchers.map(id => [id, 0]));
    for (const self of members) {
      const [first = ''] = decisions.rankSources(self, members);
      load.set(first, (load.get(first) ?? 0) + 1);
    }
    chai.expect(Math.max(...load.values())).below(2 * (96 / watchers.length));
  });

  const modes: readonly {
    readonly name: string;
    readonly isWatcher: boolean;
    readonly ageMs: number;
    readonly mode: decisions.SyncMode;
  }[] = [
    {name: 'a watcher', isWatcher: true, ageMs: 0, mode: 'watch'},
    {name: 'one that is told', isWatcher: false, ageMs: 1_000, mode: 'none'},
    {name: 'one told nothing', isWatcher: false, ageMs: 1_600, mode: 'ask'},
    {name: 'one just started', isWatcher: false, ageMs: Infinity, mode: 'ask'},
  ];

  modes.forEach(({name, isWatcher, ageMs, mode}) => {
    it(`lets ${name} ${mode}`, () => {
      const found = decisions.findSyncMode(isWatcher, ageMs, 2_000);
      chai.expect(found).equal(mode);
    });
  });

  it('keeps what a watcher knows fresh, whenever changes come', () => {
    // Changes of upstreams come at the end of each watch. Each confirms only
    // what was known at its start; with the next watch as long, all instances
    // took their watcher for one that has lost the store and left it.
    const boundMs = 2_000;
    for (let eventAtMs = 0; eventAtMs <= boundMs; eventAtMs += 50) {
      const first = decisions.findWatchDurationMs(boundMs, 0);
      const ageMs = Math.min(first, eventAtMs);
      const second = decisions.findWatchDurationMs(boundMs, ageMs);
      const staleMs = decisions.findStaleAfterMs(boundMs);
      chai.expect(ageMs + second).below(staleMs);
    }
  });
});
