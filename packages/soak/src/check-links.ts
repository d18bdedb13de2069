/**
 * Checks that callers of instances whose links to upstreams are cut are served
 * nearly as well as others, and that upstreams don't fail too often because
 * instances make them refuse too much.
 */
import type * as checkNotices from './check-notices.js';
import type * as invariants from './invariants.js';

/** Time in which the links of an instance to all upstreams are cut. */
export interface LinkCut {
  /** Address of the instance for callers. */
  readonly instance: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Time in which all upstreams say how many refusals they bear. */
export interface FragileTime {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Records that the checks need. */
export interface LinkRecord {
  readonly cuts: readonly LinkCut[];
  readonly fragileTimes: readonly FragileTime[];
  /** Times at which an upstream failed because it refused too much. */
  readonly failuresMs: readonly number[];
  readonly upstreams: number;
  readonly disruptions: readonly checkNotices.Disruption[];
  /** Address of all instances for callers. */
  readonly instances: readonly string[];
}

/** Least part of first tries that is served there, relative to others. */
const MIN_SERVED_RATIO = 2 / 3;

/** Failed first tries that are allowed, and in addition one of so many. */
const ALLOWED_FAILED = 10;
const ALLOWED_FAILED_PART = 1 / 50;

/** Failures that are allowed, and in addition for each upstream. */
const ALLOWED_FAILURES = 2;
const ALLOWED_FAILURES_PART = 0.1;

const isServed = ({status, isComplete}: invariants.CallerRecord): boolean =>
  status === 200 && isComplete;

/** Finds cuts in which too few first tries were served. */
export const findUnservedCuts = (
  {cuts, disruptions, instances}: LinkRecord,
  callers: readonly invariants.CallerRecord[],
  stabilityMs: number,
): readonly invariants.Violation[] => {
  const isDisrupted = (instance: string, fromMs: number, toMs: number) =>
    disruptions.some(
      disruption =>
        disruption.target === instance &&
        disruption.fromMs <= toMs &&
        disruption.toMs >= fromMs - stabilityMs,
    );
  const isCut = (instance: string, fromMs: number, toMs: number) =>
    cuts.some(
      cut =>
        cut.instance === instance && cut.fromMs <= toMs && cut.toMs >= fromMs,
    );
  return cuts.flatMap((cut): readonly invariants.Violation[] => {
    const fromMs = cut.fromMs + stabilityMs;
    const {instance, toMs} = cut;
    const sent = callers.filter(
      ({sentAtMs}) => sentAtMs >= fromMs && sentAtMs <= toMs,
    );
    const others = instances.filter(
      other => !isDisrupted(other, fromMs, toMs) && !isCut(other, fromMs, toMs),
    );
    const there = sent.filter(caller => caller.instance === instance);
    const elsewhere = sent.filter(caller => others.includes(caller.instance));
    const served = there.filter(isServed).length;
    const failed = there.length - served;
    const servedElsewhere = elsewhere.filter(isServed).length;
    const allowedFailed = ALLOWED_FAILED + ALLOWED_FAILED_PART * there.length;
    const isBroken =
      !isDisrupted(instance, cut.fromMs, toMs) &&
      elsewhere.length > 0 &&
      failed > allowedFailed &&
      served / there.length <
        MIN_SERVED_RATIO * (servedElsewhere / elsewhere.length);
    return isBroken
      ? [
          {
            holds: 'in_time',
            invariant: 'callers of an instance without links are served',
            id: instance,
            detail: `${served} of ${there.length}, elsewhere ${servedElsewhere} of ${elsewhere.length}`,
          },
        ]
      : [];
  });
};

/** Finds times in which upstreams failed too often. */
export const findFragileFailures = ({
  fragileTimes,
  failuresMs,
  upstreams,
}: LinkRecord): readonly invariants.Violation[] =>
  fragileTimes.flatMap(({fromMs, toMs}): readonly invariants.Violation[] => {
    const failures = failuresMs.filter(atMs => atMs >= fromMs && atMs <= toMs);
    const allowed = ALLOWED_FAILURES + ALLOWED_FAILURES_PART * upstreams;
    return failures.length <= allowed
      ? []
      : [
          {
            holds: 'in_time',
            invariant: 'upstreams do not fail for what they refuse',
            id: '-',
            detail: `${failures.length} failures of ${upstreams} upstreams`,
          },
        ];
  });
