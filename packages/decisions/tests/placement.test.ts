import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';
import * as uniform from 'pure-rand/distribution/uniformFloat64';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

const TARGET = 'model@1';
const SLOTS = 16;

const createRandom = (seed = 1): (() => number) => {
  const source = generator.xoroshiro128plus(seed);
  return () => uniform.uniformFloat64(source);
};

const createCandidates = (
  count: number,
  zones: readonly string[] = ['a'],
): readonly decisions.PlacementCandidate[] =>
  Array.from({length: count}, (_, i) => ({
    id: `upstream-${i}`,
    zone: zones[i % zones.length]!,
    serves: [TARGET],
    slots: SLOTS,
  }));

const createPlacement = (
  candidates: readonly decisions.PlacementCandidate[],
  instanceId = 'entry-0',
): decisions.Placement => {
  const placement = new decisions.Placement({
    instanceId,
    zone: 'a',
    random: createRandom(instanceId.length),
  });
  placement.setCandidates(candidates);
  return placement;
};

/** Places requests without finishing them; counts them by upstream. */
const placeMany = (
  placement: decisions.Placement,
  count: number,
  request: Partial<decisions.PlacementRequest> = {},
  nowMs = 0,
): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (let i = 0; i < count; i++) {
    const outcome = placement.choose({target: TARGET, ...request}, nowMs);
    if (outcome.kind === 'placed') {
      placement.start(outcome.upstreamId, nowMs);
      const before = counts.get(outcome.upstreamId) ?? 0;
      counts.set(outcome.upstreamId, before + 1);
    }
  }
  return counts;
};

/** Finishes requests at each upstream with its given latency. */
const answerAll = (
  placement: decisions.Placement,
  latencyMs: (id: string) => number,
  nowMs: number,
): void => {
  for (let i = 0; i < 8; i++) {
    for (const id of placement.watchedIds()) {
      placement.start(id, nowMs);
      placement.finish(id, 'answered', latencyMs(id), nowMs);
    }
  }
};

describe('Placement', () => {
  const unplaced: readonly {
    readonly name: string;
    readonly request: decisions.PlacementRequest;
    readonly reason: string;
  }[] = [
    {
      name: 'an unknown target',
      request: {target: 'model@2'},
      reason: 'unknown_target',
    },
    {
      name: 'all upstreams excluded',
      request: {target: TARGET, accepts: () => false},
      reason: 'none_accepted',
    },
    {
      name: 'all zones out',
      request: {target: TARGET, excludedZones: new Set(['a', 'b'])},
      reason: 'none_accepted',
    },
  ];
  for (const {name, request, reason} of unplaced) {
    it(`returns ${reason} for ${name}`, () => {
      const placement = createPlacement(createCandidates(4, ['a', 'b']));
      chai
        .expect(placement.choose(request, 0))
        .deep.equal({kind: 'unplaced', reason});
    });
  }

  it('uses only its own zone while that has room', () => {
    const placement = createPlacement(createCandidates(8, ['a', 'b']));
    const ids = [...placeMany(placement, 4 * 13).keys()];
    chai.expect(ids.every(id => Number(id.slice(-1)) % 2 === 0)).equal(true);
  });

  it('spills over when its own zone is full', () => {
    const placement = createPlacement(createCandidates(8, ['a', 'b']));
    chai.expect(placeMany(placement, 4 * SLOTS * 2).size).equal(8);
  });

  // Upstreams of an excluded zone got requests by affinity, because only one
  // of the two ways to choose checked the exclusion.
  it('never uses an excluded zone or upstream, even by affinity', () => {
    const placement = createPlacement(createCandidates(9, ['a', 'b', 'c']));
    const excludedZones = new Set(['a']);
    const accepts = (id: string) => id !== 'upstream-1';
    for (let i = 0; i < 200; i++) {
      const affinityKey = `prefix-${i % 20}`;
      const request = {affinityKey, excludedZones, accepts};
      for (const id of placeMany(placement, 1, request).keys()) {
        chai.expect(id).not.equal('upstream-1');
        chai.expect(placement.find(id)?.zone).not.equal('a');
      }
    }
  });

  // A slow upstream looked as idle as the others, and every eighth caller
  // waited ten times as long.
  it('avoids a slow upstream', () => {
    const placement = createPlacement(createCandidates(8));
    answerAll(placement, id => (id === 'upstream-3' ? 5000 : 500), 0);
    const counts = placeMany(placement, 64);
    chai.expect(counts.get('upstream-3') ?? 0).at.most(1);
  });

  it('avoids an upstream that does not answer', () => {
    const placement = createPlacement(createCandidates(8));
    answerAll(placement, () => 500, 0);
    placement.start('upstream-3', 0);
    placement.start('upstream-3', 0);
    const counts = placeMany(placement, 32, {}, 4000);
    chai.expect(counts.get('upstream-3') ?? 0).at.most(1);
  });

  // A broken upstream that returns errors at once has no requests in flight,
  // looked fast and attracted all requests.
  it('avoids an upstream that fails fast', () => {
    const placement = createPlacement(createCandidates(8));
    answerAll(placement, () => 500, 0);
    for (let i = 0; i < 5; i++) {
      placement.start('upstream-3', 0);
      placement.finish('upstream-3', 'failed', 1, 0);
    }
    const counts = placeMany(placement, 64);
    chai.expect(counts.get('upstream-3') ?? 0).at.most(1);
  });

  it('tries a slow upstream again after a while', () => {
    const placement = createPlacement(createCandidates(8));
    answerAll(placement, id => (id === 'upstream-3' ? 5000 : 500), 0);
    const counts = placeMany(placement, 64, {}, 60_000);
    chai.expect(counts.get('upstream-3')).at.least(4);
  });

  // All instances saw the same low load in a report and sent all their requests
  // to that upstream until the next report.
  it('does not send all of 50 instances to one upstream after a report', () => {
    const candidates = createCandidates(8);
    const counts = new Map<string, number>();
    for (let i = 0; i < 50; i++) {
      const placement = createPlacement(candidates, `entry-${'x'.repeat(i)}`);
      candidates.forEach(({id}) => {
        placement.start(id, 900);
        placement.report(id, id === 'upstream-3' ? 20 : 50, 1000);
      });
      for (const [id, count] of placeMany(placement, 8, {}, 1200)) {
        counts.set(id, (counts.get(id) ?? 0) + count);
      }
    }
    // An even share of 400 requests is 50; its reported load was 30 lower.
    chai.expect(counts.get('upstream-3')).within(50, 50 + 2 * 30);
  });

  it('ignores a report older than the last one', () => {
    const placement = createPlacement(createCandidates(1));
    placement.report('upstream-0', 10, 2000);
    placement.report('upstream-0', 99, 1000);
    chai.expect(placement.find('upstream-0')?.lastReport.load).equal(10);
  });

  it('sends a prefix to the same upstream from every instance', () => {
    const candidates = createCandidates(40);
    const chosen = ['entry-0', 'entry-1', 'entry-22'].map(instanceId => {
      const placement = createPlacement(candidates, instanceId);
      return [...placeMany(placement, 1, {affinityKey: 'prefix'}).keys()][0];
    });
    chai.expect(new Set(chosen).size).equal(1);
  });

  it('spreads a prefix that all requests share over several upstreams', () => {
    const placement = createPlacement(createCandidates(8));
    const counts = placeMany(placement, 80, {affinityKey: 'prefix'});
    chai.expect(Math.max(...counts.values())).at.most(2 * 10);
  });

  it('gives a prefix as many homes as its requests need', () => {
    const loads = createCandidates(8).map(
      ({id, zone, slots}) => new decisions.UpstreamLoad(id, zone, slots),
    );
    const options = {instanceId: 'entry-0', zone: 'a', subsetSize: 8};
    const pool = new decisions.PlacementPool('a', loads, options);
    for (let i = 0; i < 500; i++) {
      pool.recordKey(i % 2 === 0 ? 'hot' : `cold-${i}`);
    }
    chai.expect(pool.recordKey('hot')).within(5, 6);
    chai.expect(pool.recordKey('cold-1')).equal(1);
  });

  it('keeps the state of upstreams that remain candidates', () => {
    const placement = createPlacement(createCandidates(8));
    answerAll(placement, id => (id === 'upstream-3' ? 5000 : 500), 0);
    placement.setCandidates(createCandidates(7));
    const counts = placeMany(placement, 56);
    chai.expect(counts.get('upstream-3') ?? 0).at.most(1);
    chai.expect(counts.has('upstream-7')).equal(false);
  });

  it('watches a small subset of a large deployment', () => {
    const zones = Array.from({length: 9}, (_, i) => (i ? `zone-${i}` : 'a'));
    const candidates = createCandidates(3600, zones).map((candidate, i) => ({
      ...candidate,
      serves: [`model@${Math.floor(i / 9) % 10}`],
    }));
    const placement = createPlacement(candidates);
    chai.expect(placement.watchedIds().size).equal(10 * (12 + 2 * 3));
  });
});

describe('HashRing', () => {
  it('moves only the keys of a member that leaves', () => {
    const ids = createCandidates(50).map(candidate => candidate.id);
    const before = new decisions.HashRing(ids);
    const after = new decisions.HashRing(ids.slice(0, -1));
    for (let key = 0; key < 1000; key++) {
      const [first] = before.lookUp(`key-${key}`);
      const [second] = after.lookUp(`key-${key}`);
      chai.expect(second === first || first === 49).equal(true);
    }
  });

  it('returns no members for an empty ring', () => {
    chai.expect(new decisions.HashRing([]).lookUp('key')).deep.equal([]);
  });
});

describe('HotKeys', () => {
  const cases = [
    {name: 'a frequent key', share: 0.5, min: 0.4, max: 0.55},
    {name: 'a rare key', share: 0.002, min: 0, max: 0.05},
  ];
  for (const {name, share, min, max} of cases) {
    it(`estimates the share of ${name}`, () => {
      const random = createRandom();
      const keys = new decisions.HotKeys();
      for (let i = 0; i < 5000; i++) {
        const other = `key-${Math.floor(random() * 500)}`;
        keys.record(random() < share ? 'key' : other);
      }
      chai.expect(keys.record('key')).within(min, max);
    });
  }
});
