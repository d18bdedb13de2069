/**
 * Checks that instances keep to what upstreams told them in answers: a backoff
 * that was asked for, and a notice that the upstream is leaving.
 */
import type * as invariants from './invariants.js';

/** A request that reached an upstream, also one that it refused. */
export interface Arrival {
  readonly id: string;
  readonly upstream: string;
  readonly atMs: number;
  /** Instance that sent it; that of its caller if it is not known. */
  readonly sender?: string | undefined;
}

/** What an upstream said in its answer to a request. */
export interface Notice {
  readonly kind: 'backoff' | 'leaving';
  /** Id of the request that it answered. */
  readonly id: string;
  readonly upstream: string;
  readonly atMs: number;
  /** Instance that got the answer; that of the caller if it is not known. */
  readonly sender?: string | undefined;
  /** End of a backoff. */
  readonly untilMs: number;
}

/** A fault that excuses an instance, or all that use an upstream. */
export interface Disruption {
  /** Address of the instance, or id of the upstream. */
  readonly target: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Records that the check needs. */
export interface NoticeRecord {
  readonly arrivals: readonly Arrival[];
  readonly notices: readonly Notice[];
  readonly disruptions: readonly Disruption[];
}

/** Time in which a notice and requests on their way may cross, in ms. */
const IN_TRANSIT_MS = 500;

/** Requests of one instance that may arrive in a backoff after that time. */
const MAX_IN_BACKOFF = 2;

/** A request that reached an upstream, with what its caller recorded. */
interface Sent extends Arrival {
  readonly instance: string;
  readonly sentAtMs: number;
}

/** Finds the requests that reached an upstream against a notice. */
export const findIgnoredNotices = (
  {arrivals, notices, disruptions}: NoticeRecord,
  callers: readonly invariants.CallerRecord[],
  leavingMs: number,
): readonly invariants.Violation[] => {
  const byId = new Map(callers.map(caller => [caller.id, caller]));
  const sent = arrivals.flatMap((arrival): readonly Sent[] => {
    const caller = byId.get(arrival.id);
    return caller
      ? [
          {
            ...arrival,
            instance: arrival.sender ?? caller.instance,
            sentAtMs: caller.sentAtMs,
          },
        ]
      : [];
  });
  const isExcused = (notice: Notice, {instance, upstream, atMs}: Sent) =>
    disruptions.some(
      ({target, fromMs, toMs}) =>
        (target === instance || target === upstream) &&
        fromMs <= atMs &&
        toMs >= notice.atMs - IN_TRANSIT_MS,
    );
  const isAgainst = (notice: Notice, {atMs, sentAtMs}: Sent): boolean =>
    notice.kind === 'backoff'
      ? atMs > notice.atMs + IN_TRANSIT_MS && atMs < notice.untilMs
      : sentAtMs > notice.atMs + leavingMs;
  return notices.flatMap((notice): readonly invariants.Violation[] => {
    const instance = notice.sender ?? byId.get(notice.id)?.instance;
    const ignoring = sent.filter(
      request =>
        request.instance === instance &&
        request.upstream === notice.upstream &&
        isAgainst(notice, request) &&
        !isExcused(notice, request),
    );
    const allowed = notice.kind === 'backoff' ? MAX_IN_BACKOFF : 0;
    return ignoring.length <= allowed
      ? []
      : [
          {
            holds: 'in_time',
            invariant: `a notice of an upstream is kept: ${notice.kind}`,
            id: notice.id,
            detail: `${notice.upstream} got ${ignoring.length} from ${instance ?? 'no instance'}`,
          },
        ];
  });
};
