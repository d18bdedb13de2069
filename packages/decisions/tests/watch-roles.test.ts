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

describe('watch roles', () => {
  const fleets: readonly {
    readonly name: string;
    readonly counts: Readonly<Record<string, number>>;
    readonly watchers: number;
  }[] = [
    {name: 'one instance', counts: {a: 1}, watchers: 1},
    {
      name: '7 instances in three zones',
      counts: {a: 3, b: 2, c: 2},
      watchers: 2,
    },
    {
      name: '88 instances in four zones',
      counts: {a: 22, b: 22, c: 22, d: 22},
      watchers: 4,
    },
    {
      name: '300 instances in three zones',
      counts: {a: 100, b: 100, c: 100},
      watchers: 13,
    },
  ];

  fleets.forEach(({name, counts, watchers}) => {
    it(`chooses ${watchers} watchers of ${name}`, () => {
      const members = createMembers(counts);
      const found = decisions.findWatchers(members);
      chai.expect(found).length(watchers);
      chai.expect(new Set(found).size).equal(watchers);
    });
  });

  it('spreads watchers over zones', () => {
    // If a zone with all watchers were lost, every instance would list the
    // store itself until it learned that the watchers are gone.
    const members = createMembers({a: 2, b: 2, c: 3});
    const zones = decisions.findWatchers(members).map(id => id.split('-')[0]);
    chai.expect(new Set(zones).size).equal(zones.length);
  });

  it('chooses larger instances as watchers while there are any', () => {
    // Guards against callers of a small instance that wait for seconds, as it
    // spends all of its processor on its followers.
    const members = createMembers({a: 96, b: 96}).map((member, index) => ({
      ...member,
      cores: index % 8 === 0 ? 1.35 : 0.3,
    }));
    const large = members.filter(({cores}) => cores > 1).map(({id}) => id);
    const found = decisions.findWatchers(members);
    chai.expect(large).include.members([...found]);
  });

  it('ranks sources of the own zone first, and never the instance itself', () => {
    const members = createMembers({a: 30, b: 30});
    for (const self of members) {
      const sources = decisions.rankSources(self, members);
      const isNear = (id: string) => id.startsWith(self.zone);
      const watchers = decisions.findWatchers(members);
      const candidates = watchers.includes(self.id)
        ? decisions.findStoreWatchers(watchers)
        : watchers;
      const near = candidates.filter(id => isNear(id) && id !== self.id);
      chai.expect(sources).not.include(self.id);
      chai.expect(sources.slice(0, near.length).every(isNear)).equal(true);
      chai.expect(sources).include.members([...near]);
    }
  });

  it('lets two or three watchers watch the store, however large the fleet', () => {
    // If every watcher watched the store, its calls would grow with the fleet.
    const counts = [7, 88, 195, 1_000].map(count => {
      const members = createMembers({a: count, b: count, c: count});
      const watchers = decisions.findWatchers(members);
      const own = decisions.findStoreWatchers(watchers);
      chai.expect(new Set(own.map(id => id.split('-')[0])).size).above(1);
      return own.length;
    });
    chai.expect(counts).eql([2, 3, 3, 3]);
  });

  it('makes the other watchers follow those that watch the store', () => {
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
    {name: 'a store watcher', isWatcher: true, ageMs: 0, mode: 'watch'},
    {
      name: 'an instance with a fresh view',
      isWatcher: false,
      ageMs: 1_000,
      mode: 'none',
    },
    {
      name: 'an instance with a stale view',
      isWatcher: false,
      ageMs: 1_600,
      mode: 'ask',
    },
    {
      name: 'an instance that has just started',
      isWatcher: false,
      ageMs: Infinity,
      mode: 'ask',
    },
  ];

  modes.forEach(({name, isWatcher, ageMs, mode}) => {
    it(`returns ${mode} for ${name}`, () => {
      const found = decisions.findSyncMode(isWatcher, ageMs, 2_000);
      chai.expect(found).equal(mode);
    });
  });

  it('keeps the view of a watcher from going stale, whenever changes come', () => {
    // An answer with changes confirms only the state at the start of its watch.
    // If it came at the end and the next watch were as long, all instances
    // would leave the watcher as if it had lost the store.
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
