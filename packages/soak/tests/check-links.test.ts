import * as chai from 'chai';
import * as checkLinks from '../src/check-links.js';
import type * as invariants from '../src/invariants.js';

const STABILITY_MS = 3_000;

const createCallers = (
  instance: string,
  served: number,
  failed: number,
): readonly invariants.CallerRecord[] =>
  Array.from({length: served + failed}, (_, index) => ({
    id: `${instance}-${index}`,
    kind: 'read',
    isFatal: false,
    key: 'key-1',
    instance,
    sentAtMs: 4_000,
    endedAtMs: 4_010,
    status: index < served ? 200 : 503,
    body: '',
    isComplete: true,
    isSigned: true,
  }));

const createRecord = (
  overrides: Partial<checkLinks.LinkRecord> = {},
): checkLinks.LinkRecord => ({
  cuts: [{instance: 'cut', fromMs: 0, toMs: 6_000}],
  fragileTimes: [{fromMs: 0, toMs: 5_000}],
  failuresMs: [],
  upstreams: 3,
  disruptions: [],
  instances: ['cut', 'other'],
  ...overrides,
});

describe('findUnservedCuts', () => {
  const cases: readonly {
    readonly name: string;
    readonly served: number;
    readonly failed: number;
    readonly record?: Partial<checkLinks.LinkRecord>;
    readonly found: number;
  }[] = [
    {name: 'all served', served: 30, failed: 0, found: 0},
    {name: 'most served', served: 25, failed: 5, found: 0},
    {name: 'none served', served: 0, failed: 30, found: 1},
    {name: 'few sent', served: 0, failed: 8, found: 0},
    {
      name: 'none served while the instance restarts',
      served: 0,
      failed: 30,
      record: {disruptions: [{target: 'cut', fromMs: 1_000, toMs: 5_000}]},
      found: 0,
    },
    {
      name: 'none served while all are cut',
      served: 0,
      failed: 30,
      record: {
        cuts: ['cut', 'other'].map(instance => ({
          instance,
          fromMs: 0,
          toMs: 6_000,
        })),
      },
      found: 0,
    },
  ];

  cases.forEach(({name, served, failed, record, found}) => {
    it(`finds ${found}: ${name}`, () => {
      const callers = [
        ...createCallers('cut', served, failed),
        ...createCallers('other', 30, 0),
      ];
      const violations = checkLinks.findUnservedCuts(
        createRecord(record),
        callers,
        STABILITY_MS,
      );
      chai.expect(violations).length(found);
    });
  });
});

describe('findFragileFailures', () => {
  it('allows two failures, and one more for ten upstreams', () => {
    const failuresMs = [100, 200, 300];
    const few = createRecord({failuresMs: failuresMs.slice(1)});
    chai.expect(checkLinks.findFragileFailures(few)).length(0);
    const many = createRecord({failuresMs});
    chai.expect(checkLinks.findFragileFailures(many)).length(1);
    const large = createRecord({failuresMs, upstreams: 10});
    chai.expect(checkLinks.findFragileFailures(large)).length(0);
  });
});
