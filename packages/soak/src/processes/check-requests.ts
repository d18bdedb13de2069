/**
 * Checks that each request which a process was sent gets a whole answer, or
 * ends in one of the ways that its caller has to expect.
 */
import type * as invariants from '../invariants.js';
import * as processLife from '../process-life.js';
import type * as requestRecord from './request-record.js';
import * as workUpstream from './work-upstream.js';

/** A time span on the soak's clock, in milliseconds. */
export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** All that the check needs. */
export interface WorkRecord {
  readonly requests: readonly requestRecord.RequestRecord[];
  readonly runs: readonly requestRecord.WorkRun[];
  /** Times in which the soak itself was late to see what happened. */
  readonly delays: readonly Span[];
  /** Time from SIGTERM to the platform's SIGKILL, in milliseconds. */
  readonly graceMs: number;
  /** Time before a close in which a request may cross it, in milliseconds. */
  readonly lossSlackMs: number;
  /** Time that requests are given; a connection may close after it, in ms. */
  readonly timeoutMs: number;
}

/** Part of the grace at its end in which work may be cut. */
const LAST_PART = 1 / 6;

/**
 * Time by which a send may be noted after the instance has read it, in ms: its
 * time is over there that much sooner.
 */
const TIMEOUT_MARGIN_MS = 100;

/** Statuses that say that a request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Statuses of a gateway's own that no proper request gets. */
const DENIALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 405]);

/** Kinds that may run once at most. */
const ONCE_KINDS: ReadonlySet<requestRecord.WorkKind> = new Set([
  'book',
  'large',
]);

const overlap = (a: Span, b: Span): number =>
  Math.max(0, Math.min(a.toMs, b.toMs) - Math.max(a.fromMs, b.fromMs));

const isKillExcuse = (
  {life, endedAtMs}: requestRecord.RequestRecord,
  runs: readonly requestRecord.WorkRun[],
  graceMs: number,
): boolean =>
  life.signals
    .filter(({name, atMs}) => name === 'SIGKILL' && atMs <= endedAtMs)
    .some(({cause, atMs}) => {
      const lastFromMs = atMs - graceMs * LAST_PART;
      return (
        cause === 'fault' ||
        (cause === 'grace' &&
          runs.some(({endedAtMs: toMs = Infinity}) => toMs >= lastFromMs))
      );
    });

const isExcused = (
  request: requestRecord.RequestRecord,
  runs: readonly requestRecord.WorkRun[],
  {delays, graceMs, lossSlackMs, timeoutMs}: WorkRecord,
): boolean => {
  const {writtenAtMs = Infinity, endedAtMs, life, outcome} = request;
  const span = {fromMs: writtenAtMs, toMs: endedAtMs};
  const wasPaused = processLife
    .findPauses(life)
    .some(pause => overlap(pause, span) > 0);
  if (wasPaused || isKillExcuse(request, runs, graceMs)) {
    return true;
  }
  const lateMs = delays.reduce((sum, delay) => sum + overlap(delay, span), 0);
  const takenMs = endedAtMs - writtenAtMs;
  const hasCrossed = runs.length === 0 && takenMs - lateMs <= lossSlackMs;
  const isOver = takenMs >= timeoutMs - TIMEOUT_MARGIN_MS;
  return outcome === 'closed' && (hasCrossed || isOver);
};

const describe = (
  {
    kind,
    life,
    writtenAtMs = 0,
    endedAtMs,
    outcome,
  }: requestRecord.RequestRecord,
  runs: readonly requestRecord.WorkRun[],
): string => {
  const relative = (atMs: number) => Math.round(atMs - life.startedAtMs);
  const sent = life.signals.map(({name, cause, atMs}) =>
    [name, cause, relative(atMs)].join(' '),
  );
  const ended = life.end ? relative(life.end.atMs) : 'no end';
  return (
    `${kind} ${outcome} at ${life.instance}, sent at ${relative(writtenAtMs)}, ` +
    `ended at ${relative(endedAtMs)} ms of its process (end: ${ended}); ` +
    `runs: ${runs.length}; signals: ${sent.join(', ')}`
  );
};

/** Finds requests that were lost, refused though run, or run twice. */
export const findRequestFailures = (
  record: WorkRecord,
): readonly invariants.Violation[] => {
  const runsById = new Map<string, requestRecord.WorkRun[]>();
  for (const run of record.runs) {
    const runs = runsById.get(run.id) ?? [];
    runsById.set(run.id, runs);
    runs.push(run);
  }
  const violations: invariants.Violation[] = [];
  for (const request of record.requests) {
    const {id, kind, answer, outcome, writtenAtMs} = request;
    const runs = runsById.get(id) ?? [];
    const add = (invariant: string) => {
      const detail = `status ${answer?.status}, ${describe(request, runs)}`;
      // A process that gets no processor time reads late and closes late.
      const wasUnread = outcome === 'closed' && runs.length === 0;
      const holds = wasUnread ? 'in_time' : 'always';
      violations.push({holds, invariant, id, detail});
    };
    if (ONCE_KINDS.has(kind) && runs.length > 1) {
      add('a request that is not idempotent runs once at most');
    }
    if (outcome !== 'whole') {
      if (writtenAtMs !== undefined && !isExcused(request, runs, record)) {
        add('a request that was sent gets a whole answer');
      }
      continue;
    }
    const {status = 0, body} = answer ?? {};
    if (status === 200 && body !== workUpstream.formatWorkBody(id, kind)) {
      add('an answer is whole and its own');
    }
    if (NOT_RUN_STATUSES.has(status) && runs.length > 0) {
      add('a request that was refused as not run did not run');
    }
    if (DENIALS.has(status)) {
      add('a proper request is not denied');
    }
  }
  return violations;
};
