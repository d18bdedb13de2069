import * as chai from 'chai';
import * as decisions from '@amaranthknot/decisions';

const TIMING = {ageMs: 0, durationMs: 24_000, sessionMs: 5_000};
const LIMIT = {share: 0.15, slack: 30};

/** Time for which a verdict has held in these tests, in milliseconds. */
const STEADY_MS = 1_000;

/** Time between two evaluations of a rollout, in milliseconds. */
const STEP_MS = 100;

const countsOf = (
  requests: number,
  errors: number,
  slow = 0,
): decisions.VersionCounts => ({
  ...decisions.NO_COUNTS,
  requests,
  errors,
  slow,
  compared: requests,
  slower: slow,
});

const evidenceOf = (
  old: decisions.VersionCounts,
  fresh: decisions.VersionCounts,
): decisions.EvidenceByRoute =>
  new Map([['route-1', {'instance-1.1': {old, new: fresh}}]]);

const conditionsAt = (
  ageMs: number,
  verdict: decisions.VersionVerdict,
  fullTrafficMs = 3_000,
): decisions.RolloutConditions => ({
  timing: {...TIMING, ageMs},
  verdict,
  limit: LIMIT,
  fullTrafficMs,
});

describe('rollout schedule', () => {
  const verdicts: readonly {
    readonly name: string;
    readonly old: decisions.VersionCounts;
    readonly fresh: decisions.VersionCounts;
    readonly verdict: decisions.VersionVerdict;
  }[] = [
    {
      name: 'nothing seen yet',
      old: countsOf(0, 0),
      fresh: countsOf(0, 0),
      verdict: 'unclear',
    },
    {
      name: 'too few answers of a version while the service is in use',
      old: countsOf(200, 2),
      fresh: countsOf(4, 0),
      verdict: 'unproved',
    },
    {
      name: 'a few good answers',
      old: countsOf(200, 2),
      fresh: countsOf(8, 0),
      verdict: 'good',
    },
    {
      name: 'failures at the same rate on both versions',
      old: countsOf(200, 60),
      fresh: countsOf(20, 6),
      verdict: 'good',
    },
    {
      name: 'a third of few answers failed',
      old: countsOf(200, 2),
      fresh: countsOf(12, 4),
      verdict: 'bad',
    },
    {
      name: 'most answers far slower',
      old: countsOf(200, 2, 5),
      fresh: countsOf(10, 0, 8),
      verdict: 'bad',
    },
    {
      name: 'no times that could be compared',
      old: countsOf(200, 2),
      fresh: {...countsOf(40, 0), compared: 0},
      verdict: 'unproved',
    },
    {
      name: 'half of the times over twice the typical one',
      old: {...countsOf(200, 2), slower: 100},
      fresh: {...countsOf(40, 0), slower: 20},
      verdict: 'doubtful',
    },
    {
      name: 'few answers while the service is little used',
      old: countsOf(12, 0),
      fresh: countsOf(1, 0),
      verdict: 'unproved',
    },
    {
      name: 'only failures, with no answers of the old version',
      old: countsOf(0, 0),
      fresh: countsOf(10, 10),
      verdict: 'bad',
    },
  ];

  verdicts.forEach(({name, old, fresh, verdict}) => {
    it(`judges ${verdict} after ${name}`, () => {
      const judged = decisions.judgeVersion(evidenceOf(old, fresh));
      chai.expect(judged).equal(verdict);
    });
  });

  it('pools the evidence of all instances', () => {
    const one = {old: countsOf(50, 0), new: countsOf(4, 1)};
    const few = new Map([['route-1', {a: one}]]);
    const many = new Map([
      ['route-1', {a: one, b: one, c: one, d: one, e: one}],
    ]);
    chai.expect(decisions.judgeVersion(few)).not.equal('bad');
    chai.expect(decisions.judgeVersion(many)).equal('bad');
  });

  it('does not complete a version that fails more often than the old one', () => {
    // 30% of the new version's answers fail, and 10% of the old one's, because
    // of reset connections and removed upstreams. At the deadline the evidence
    // is not enough to stop the version.
    const evidence = evidenceOf(countsOf(440, 43), countsOf(24, 7));
    const verdict = decisions.judgeVersion(evidence);
    const atEnd = {...TIMING, ageMs: 23_300};
    const end = decisions.findRolloutEnd(atEnd, verdict, STEADY_MS);
    chai.expect(end).equal('rolled_back');
  });

  it('does not complete a version that an outage kept from full traffic', () => {
    // 30% of the new version's answers fail, but by chance only 2 of the 21
    // counted. During full traffic API keys can't be verified, so that no
    // further requests come.
    const evidence = evidenceOf(countsOf(117, 3), countsOf(21, 2));
    const verdict = decisions.judgeVersion(evidence);
    const atEnd = {...TIMING, ageMs: 23_300};
    const end = decisions.findRolloutEnd(atEnd, verdict, STEADY_MS);
    chai.expect(end).equal('rolled_back');
  });

  it('gives full traffic to a version that has failed slightly more often', () => {
    const evidence = evidenceOf(countsOf(117, 3), countsOf(21, 2));
    const verdict = decisions.judgeVersion(evidence);
    const share = decisions.findRolloutShare(conditionsAt(21_100, verdict));
    chai.expect(share).equal(1);
  });

  it('keeps a good version whose upstreams fill their caches under load', () => {
    // Under high load some answers of both versions are slow, those of the new
    // upstreams twice as often. This must not roll the version back.
    const old = {
      ...decisions.NO_COUNTS,
      requests: 1_221,
      errors: 25,
      slow: 138,
      paced: 688,
      dragging: 74,
    };
    const fresh = {
      ...decisions.NO_COUNTS,
      requests: 87,
      slow: 19,
      paced: 45,
      dragging: 13,
      compared: 132,
      slower: 38,
    };
    chai.expect(decisions.judgeVersion(evidenceOf(old, fresh))).equal('good');
  });

  const slowStarts = [
    {old: countsOf(578, 28, 15), fresh: countsOf(48, 1, 6)},
    {old: countsOf(705, 20, 49), fresh: countsOf(49, 1, 11)},
  ];

  slowStarts.forEach(({old, fresh}) => {
    const {slow, requests} = fresh;
    it(`keeps a good version with ${slow} slow answers of ${requests}`, () => {
      // The only upstream of the new version in use has an empty cache and
      // more prefill work than each old one. Some first tokens are late, and
      // the odds reach 20 to 1 although the version is as good as the old one.
      const verdict = decisions.judgeVersion(evidenceOf(old, fresh));
      chai.expect(verdict).equal('good');
    });
  });

  it('stops a version that fails on one route only', () => {
    // Half of the answers on the smallest route fail. Among the answers of all
    // routes the failures are rare enough to look like chance.
    const good = {a: {old: countsOf(300, 6), new: countsOf(40, 1)}};
    const bad = {a: {old: countsOf(60, 1), new: countsOf(8, 4)}};
    const byRoute = new Map([
      ['route-1', good],
      ['route-2', bad],
    ]);
    chai.expect(decisions.judgeVersion(byRoute)).equal('bad');
  });

  const shares: readonly {
    readonly name: string;
    readonly ageMs: number;
    readonly verdict: decisions.VersionVerdict;
    readonly share: number;
  }[] = [
    {
      name: 'while earlier sessions end',
      ageMs: 5_000,
      verdict: 'good',
      share: 0,
    },
    {
      name: 'after earlier sessions ended',
      ageMs: 6_000,
      verdict: 'unclear',
      share: 0.09,
    },
    {
      name: 'just before full traffic',
      ageMs: 20_900,
      verdict: 'good',
      share: 0.09,
    },
    {
      name: 'in the phase of full traffic',
      ageMs: 21_100,
      verdict: 'unclear',
      share: 1,
    },
    {name: 'while doubtful', ageMs: 21_100, verdict: 'doubtful', share: 0.09},
    {name: 'once judged bad', ageMs: 21_100, verdict: 'bad', share: 0},
  ];

  shares.forEach(({name, ageMs, verdict, share}) => {
    it(`gives the new version a share of ${share} ${name}`, () => {
      const found = decisions.findRolloutShare(conditionsAt(ageMs, verdict));
      chai.expect(found).closeTo(share, 1e-9);
    });
  });

  /**
   * Simulates a rollout of a version judged good; returns the requests that
   * each version gets. Evidence is known `lagMs` late.
   */
  const simulateRollout = (
    rateAt: (ageMs: number) => number,
    lagMs: number,
  ): {readonly old: number; readonly fresh: number} => {
    const history: {readonly old: number; readonly fresh: number}[] = [];
    let old = 0;
    let fresh = 0;
    for (let ageMs = 0; ageMs < TIMING.durationMs; ageMs += STEP_MS) {
      const timing = {...TIMING, ageMs};
      const known = history.at(-1 - lagMs / STEP_MS) ?? {old: 0, fresh: 0};
      const evidence = {
        old: countsOf(known.old, 0),
        new: countsOf(known.fresh, 0),
      };
      const share = decisions.findRolloutShare({
        timing,
        verdict: 'good',
        limit: LIMIT,
        fullTrafficMs: decisions.findFullTrafficMs(timing, evidence, LIMIT),
      });
      const requests = (rateAt(ageMs) * STEP_MS) / 1_000;
      fresh += share * requests;
      old += (1 - share) * requests;
      history.push({old, fresh});
    }
    return {old, fresh};
  };

  const loads: readonly {
    readonly name: string;
    readonly rateAt: (ageMs: number) => number;
    readonly lagMs: number;
  }[] = [
    {name: 'a steady load', rateAt: () => 44, lagMs: 0},
    {
      name: 'a load that rises by half at the end',
      rateAt: ageMs => (ageMs < 20_000 ? 60 : 90),
      lagMs: 1_000,
    },
  ];

  loads.forEach(({name, rateAt, lagMs}) => {
    it(`keeps a version that is bad at full load within its exposure, at ${name}`, () => {
      // A bad version may get 15% of the requests and 30 more. It looks good at
      // a small share and turns bad only with full traffic. By the deadline it
      // must have got no more, even if the request rate rises and answers are
      // counted late.
      const {old, fresh} = simulateRollout(rateAt, lagMs);
      const allowed = LIMIT.share * (old + fresh) + LIMIT.slack;
      chai.expect(fresh).below(0.95 * allowed);
      chai.expect(fresh).above(allowed / 2);
    });
  });

  const ends: readonly {
    readonly ageMs: number;
    readonly verdict: decisions.VersionVerdict;
    readonly end: 'completed' | 'rolled_back' | undefined;
    /** Time since the verdict last changed; long by default. */
    readonly verdictAgeMs?: number;
  }[] = [
    {ageMs: 1_000, verdict: 'unclear', end: undefined},
    {ageMs: 1_000, verdict: 'bad', end: 'rolled_back'},
    {ageMs: 22_000, verdict: 'good', end: undefined},
    {ageMs: 23_300, verdict: 'good', end: 'completed'},
    {ageMs: 23_300, verdict: 'unclear', end: 'completed'},
    {ageMs: 22_000, verdict: 'doubtful', end: undefined},
    {ageMs: 23_300, verdict: 'doubtful', end: 'rolled_back'},
    // Another instance may have just judged the version bad.
    {ageMs: 23_300, verdict: 'good', end: undefined, verdictAgeMs: 100},
    {ageMs: 23_950, verdict: 'good', end: 'rolled_back', verdictAgeMs: 100},
  ];

  ends.forEach(({ageMs, verdict, end, verdictAgeMs = STEADY_MS}) => {
    it(`is ${end ?? 'in progress'} at ${ageMs} ms when ${verdict} for ${verdictAgeMs} ms`, () => {
      const timing = {...TIMING, ageMs};
      const found = decisions.findRolloutEnd(timing, verdict, verdictAgeMs);
      chai.expect(found).equal(end);
    });
  });
});
