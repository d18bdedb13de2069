import * as chai from 'chai';
import * as invariants from '../src/invariants.js';
import * as documents from '../src/soak-documents.js';

/** Records of one served request and its runs; no violation by default. */
const createRecord = (
  caller: Partial<invariants.CallerRecord> = {},
  runs: readonly Partial<invariants.RunRecord>[] = [{}],
): invariants.SoakRecord => {
  const id = 'r-1';
  return {
    callers: [
      {
        id,
        kind: 'book',
        isFatal: false,
        key: 'key-1',
        instance: 'instance-1',
        sentAtMs: 10_000,
        endedAtMs: 10_050,
        status: 200,
        body: invariants.formatPlainBody(id),
        isComplete: true,
        isSigned: true,
        ...caller,
      },
    ],
    runs: runs.map(run => ({
      id,
      upstream: 'u-0',
      atMs: 10_010,
      lastEventId: 0,
      ...run,
    })),
    revocations: [],
    notices: {arrivals: [], notices: [], disruptions: []},
    recoveryFromMs: 0,
    links: {
      cuts: [],
      fragileTimes: [],
      failuresMs: [],
      upstreams: 3,
      disruptions: [],
      instances: ['instance-1'],
    },
    fatalPart: {arrivals: [], endsMs: [], disruptions: []},
    cold: {arrivals: [], returns: []},
    left: {callers: [], arrivals: []},
    repeats: {arrivals: [], limit: documents.RETRY_LIMIT},
    whole: undefined,
    bounds: {revocationMs: 3_000, leavingMs: 2_000, stabilityMs: 3_000},
  };
};

describe('findViolations', () => {
  it('finds none in a request that was served', () => {
    chai.expect(invariants.findViolations(createRecord())).eql([]);
  });

  it('accepts a complete stream, and a cut one up to the cut', () => {
    const body = invariants.formatStreamBody('r-1');
    const complete = createRecord({kind: 'stream', body});
    chai.expect(invariants.findViolations(complete)).eql([]);
    const cut = createRecord({
      kind: 'stream',
      body: body.slice(0, 40),
      isComplete: false,
    });
    chai
      .expect(invariants.findViolations({...cut, recoveryFromMs: Infinity}))
      .length(1);
  });

  const injected: readonly {
    readonly invariant: string;
    readonly record: invariants.SoakRecord;
  }[] = [
    {
      invariant: 'runs at most once',
      record: createRecord({}, [{}, {upstream: 'u-1'}]),
    },
    {
      invariant: 'a refusal that says not run is true',
      record: createRecord({status: 503, body: ''}),
    },
    {
      invariant: 'an answer is whole and its own',
      record: createRecord({body: invariants.formatPlainBody('r-2')}),
    },
    {
      invariant: 'no piece is missing or doubled',
      record: createRecord({
        kind: 'stream',
        isComplete: false,
        body:
          invariants.formatStreamEvent('r-1', 1) +
          invariants.formatStreamEvent('r-1', 3),
      }),
    },
    {
      invariant: "an answer is an upstream's",
      record: createRecord({isSigned: false}),
    },
    {invariant: "an answer is an upstream's", record: createRecord({}, [])},
    {
      invariant: 'a revoked key opens nothing',
      record: {
        ...createRecord(),
        revocations: [{key: 'key-1', atMs: 6_000}],
      },
    },
    {
      invariant: 'all is served again when faults are over',
      record: createRecord({status: 502, body: ''}),
    },
  ];

  injected.forEach(({invariant, record}, index) => {
    it(`finds injected violation ${index + 1}: ${invariant}`, () => {
      const found = invariants
        .findViolations(record)
        .map(violation => violation.invariant);
      chai.expect(found).include(invariant);
    });
  });
});
