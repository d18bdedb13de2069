/** What must hold whatever fails, checked on what callers and upstreams saw. */

/** Kinds of requests that are sent. */
export type RequestKind = 'read' | 'book' | 'stream' | 'once';

/** What a caller saw of one request. */
export interface CallerRecord {
  readonly id: string;
  readonly kind: RequestKind;
  readonly key: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 where the connection broke before any answer. */
  readonly status: number;
  readonly body: string;
  /** Whether the answer ended as a whole one does. */
  readonly isComplete: boolean;
  /** Whether it bears an upstream's signature. */
  readonly isSigned: boolean;
}

/** What an upstream saw of one request. */
export interface RunRecord {
  readonly id: string;
  readonly upstream: string;
  readonly atMs: number;
  /** Number of the last event that the caller had, 0 for none. */
  readonly lastEventId: number;
}

/** A key that was taken away, and when the store acknowledged it. */
export interface Revocation {
  readonly key: string;
  readonly atMs: number;
}

/** Times within which changes must hold, in milliseconds. */
export interface InvariantBounds {
  readonly revocationMs: number;
}

/** All that one run saw. */
export interface SoakRecord {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  readonly revocations: readonly Revocation[];
  /** When all faults were over and the load went on. */
  readonly recoveryFromMs: number;
  readonly bounds: InvariantBounds;
}

/** A promise that was broken. */
export interface Violation {
  /**
   * `always` holds however slow the machine is; `in_time` has a bound, which a
   * machine that is busy with other work can miss as well.
   */
  readonly holds: 'always' | 'in_time';
  readonly invariant: string;
  readonly id: string;
  readonly detail: string;
}

/** Statuses that say that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Events of each stream. */
export const STREAM_LENGTH = 12;

/** Least part of requests that is served once all is calm again. */
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

/** Body of a whole stream for a request. */
export const formatStreamBody = (id: string): string =>
  Array.from({length: STREAM_LENGTH}, (_, i) =>
    formatStreamEvent(id, i + 1),
  ).join('');

/** One event of a stream for a request. */
export const formatStreamEvent = (id: string, number: number): string =>
  `id: ${number}\ndata: ${id} ${number}\n\n`;

/** Body of a whole plain answer for a request. */
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
    const whole = isStream ? formatStreamBody(id) : formatPlainBody(id);
    if (isComplete && body !== whole) {
      addViolation(
        'an answer is whole and its own',
        JSON.stringify(body.slice(0, 80)),
      );
    }
    if (!whole.startsWith(body)) {
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
    ({sentAtMs, key}) => sentAtMs >= recoveryFromMs && !revoked.has(key),
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

/** All promises that a run broke. */
export const findViolations = (record: SoakRecord): readonly Violation[] => {
  const runs = runsById(record.runs);
  return [
    ...record.callers.flatMap(caller =>
      checkCaller(caller, runs.get(caller.id) ?? []),
    ),
    ...checkKeys(record, runs),
    ...checkRecovery(record),
  ];
};
