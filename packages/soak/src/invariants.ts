/**
 * Invariants that must hold under any faults, checked on what callers and
 * upstreams recorded.
 */

import * as checkCold from './check-cold.js';
import * as checkFatalParts from './check-fatal-parts.js';
import * as checkLeft from './check-left.js';
import * as checkLinks from './check-links.js';
import * as checkNotices from './check-notices.js';
import * as checkRepeats from './check-repeats.js';
import * as checkWholeAnswers from './check-whole-answers.js';

/** Kinds of request, named after their routes. */
export type RequestKind = 'read' | 'book' | 'stream' | 'once';

/** One request as its caller saw it; times are on the soak's clock. */
export interface CallerRecord {
  readonly id: string;
  readonly kind: RequestKind;
  /** Whether its prompt has the part that ends upstreams. */
  readonly isFatal: boolean;
  readonly key: string;
  /** Address of the instance that it was sent to. */
  readonly instance: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** HTTP status; 0 if the connection failed before an answer. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer ended as its framing says. */
  readonly isComplete: boolean;
  /** Whether the answer has the receipt header of an upstream. */
  readonly isSigned: boolean;
}

/** One run of a request at an upstream. */
export interface RunRecord {
  readonly id: string;
  readonly upstream: string;
  readonly atMs: number;
  /** Id of the last event that had been received, 0 for none. */
  readonly lastEventId: number;
}

/** A revoked API key, and when the store acknowledged the revocation. */
export interface Revocation {
  readonly key: string;
  readonly atMs: number;
}

/** Times after which changes must be in effect, in milliseconds. */
export interface InvariantBounds {
  readonly revocationMs: number;
  /** After an upstream's notice that it is leaving. */
  readonly leavingMs: number;
  /** After the start of a cut, until callers must be served. */
  readonly stabilityMs: number;
}

/** All records of one soak run. */
export interface SoakRecord {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  readonly revocations: readonly Revocation[];
  readonly notices: checkNotices.NoticeRecord;
  readonly links: checkLinks.LinkRecord;
  readonly fatalPart: checkFatalParts.FatalPartRecord;
  readonly cold: checkCold.ColdRecord;
  readonly left: checkLeft.LeftRecord;
  readonly repeats: checkRepeats.RepeatRecord;
  /** Undefined where other faults than kills may lose answers. */
  readonly whole: checkWholeAnswers.WholeAnswerRecord | undefined;
  /** Time from which requests count for recovery; faults ended before. */
  readonly recoveryFromMs: number;
  readonly bounds: InvariantBounds;
}

/** A violated invariant. */
export interface Violation {
  /**
   * `always` does not depend on the speed of the machine; `in_time` has a time
   * bound, which a machine that is busy with other work can miss too.
   */
  readonly holds: 'always' | 'in_time';
  readonly invariant: string;
  readonly id: string;
  readonly detail: string;
}

/** Statuses that say that a request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Number of events in each stream. */
export const STREAM_LENGTH = 12;

/** Least fraction of requests that must be served after recovery. */
const MIN_SERVED_FRACTION = 0.9;

const AT_MOST_ONCE_KINDS: ReadonlySet<RequestKind> = new Set(['book', 'once']);

const runsById = (
  runs: readonly RunRecord[],
): ReadonlyMap<string, readonly RunRecord[]> => {
  const found = new Map<string, RunRecord[]>();
  for (const run of runs) {
    found.set(run.id, [...(found.get(run.id) ?? []), run]);
  }
  return found;
};

const isSuccess = ({status}: CallerRecord): boolean =>
  status >= 200 && status < 300;

/** Body of the complete stream for a request. */
export const formatStreamBody = (id: string): string =>
  Array.from({length: STREAM_LENGTH}, (_, i) =>
    formatStreamEvent(id, i + 1),
  ).join('');

/** One event of the stream for a request; `number` counts from 1. */
export const formatStreamEvent = (id: string, number: number): string =>
  `id: ${number}\ndata: ${id} ${number}\n\n`;

/** Body of the complete plain answer for a request. */
export const formatPlainBody = (id: string): string => `answer of ${id}`;

const checkCaller = (
  caller: CallerRecord,
  runs: readonly RunRecord[],
): readonly Violation[] => {
  const {id, kind, status, body, isComplete, isSigned} = caller;
  const violations: Violation[] = [];
  const addViolation = (invariant: string, detail: string) => {
    violations.push({
      holds: 'always',
      invariant,
      id,
      detail: `${kind} ${status}: ${detail}`,
    });
  };
  if (AT_MOST_ONCE_KINDS.has(kind) && runs.length > 1) {
    addViolation('runs at most once', `${runs.length} runs`);
  }
  if (
    AT_MOST_ONCE_KINDS.has(kind) &&
    NOT_RUN_STATUSES.has(status) &&
    runs.length > 0
  ) {
    addViolation('a refusal that says not run is true', `${runs.length} runs`);
  }
  if (isSuccess(caller)) {
    const isStream = kind === 'stream' || kind === 'once';
    const expected = isStream ? formatStreamBody(id) : formatPlainBody(id);
    if (isComplete && body !== expected) {
      addViolation(
        'an answer is whole and its own',
        JSON.stringify(body.slice(0, 80)),
      );
    }
    if (!expected.startsWith(body)) {
      addViolation(
        'no piece is missing or doubled',
        JSON.stringify(body.slice(-80)),
      );
    }
    if (!isSigned || runs.length === 0) {
      addViolation("an answer is an upstream's", `${runs.length} runs`);
    }
  }
  return violations;
};

const checkKeys = (
  {callers, revocations, bounds}: SoakRecord,
  runs: ReadonlyMap<string, readonly RunRecord[]>,
): readonly Violation[] =>
  revocations.flatMap(({key, atMs}) =>
    callers
      .filter(
        caller =>
          caller.key === key && caller.sentAtMs > atMs + bounds.revocationMs,
      )
      .filter(({id}) => (runs.get(id) ?? []).length > 0)
      .map(({id, sentAtMs}) => ({
        holds: 'in_time' as const,
        invariant: 'a revoked key opens nothing',
        id,
        detail: `sent ${sentAtMs - atMs} ms after its revocation`,
      })),
  );

const checkRecovery = ({
  callers,
  recoveryFromMs,
  revocations,
}: SoakRecord): readonly Violation[] => {
  const revoked = new Set(revocations.map(({key}) => key));
  const afterRecovery = callers.filter(
    ({sentAtMs, key, isFatal}) =>
      sentAtMs >= recoveryFromMs && !revoked.has(key) && !isFatal,
  );
  const served = afterRecovery.filter(
    caller => isSuccess(caller) && caller.isComplete,
  ).length;
  return served >= MIN_SERVED_FRACTION * afterRecovery.length &&
    afterRecovery.length > 0
    ? []
    : [
        {
          holds: 'in_time',
          invariant: 'all is served again when faults are over',
          id: '-',
          detail: `${served} of ${afterRecovery.length}`,
        },
      ];
};

/** Returns all violations in the records of a run. */
export const findViolations = (record: SoakRecord): readonly Violation[] => {
  const runs = runsById(record.runs);
  return [
    ...record.callers.flatMap(caller =>
      checkCaller(caller, runs.get(caller.id) ?? []),
    ),
    ...checkKeys(record, runs),
    ...checkNotices.findIgnoredNotices(
      record.notices,
      record.callers,
      record.bounds.leavingMs,
    ),
    ...checkLinks.findUnservedCuts(
      record.links,
      // Those with the part aren't served anywhere.
      record.callers.filter(({isFatal}) => !isFatal),
      record.bounds.stabilityMs,
    ),
    ...checkLinks.findFragileFailures(record.links),
    ...checkFatalParts.findFatalArrivals(
      record.fatalPart,
      record.callers,
      record.bounds.stabilityMs,
    ),
    ...checkCold.findFloods(record.cold),
    ...checkLeft.findWorkForNobody(record.left),
    ...checkRepeats.findRepeatExcess(record.repeats),
    ...checkRecovery(record),
    ...(record.whole
      ? checkWholeAnswers.findLostAnswers(record.whole, record.callers)
      : []),
  ];
};
