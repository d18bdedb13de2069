/** Checks that a system serves, and that it keeps what it was given. */
import type * as invariants from '../invariants.js';
import type * as checkRequests from './check-requests.js';
import type * as requestRecord from './request-record.js';

/** Least fraction of requests that must be served without faults. */
const MIN_SERVED_FRACTION = 0.9;

/** Whether a request got the answer of an upstream. */
export const isServed = ({answer}: requestRecord.RequestRecord): boolean =>
  answer?.status === 200;

/** Finds whether too few of the requests that ended in `span` were served. */
export const findUnserved = (
  invariant: string,
  requests: readonly requestRecord.RequestRecord[],
  {fromMs, toMs}: checkRequests.Span,
): readonly invariants.Violation[] => {
  const ended = requests.filter(
    ({endedAtMs}) => endedAtMs >= fromMs && endedAtMs < toMs,
  );
  const served = ended.filter(isServed).length;
  if (ended.length > 0 && served >= MIN_SERVED_FRACTION * ended.length) {
    return [];
  }
  const detail = `${served} of ${ended.length} requests served`;
  return [{holds: 'in_time', invariant, id: '-', detail}];
};

/** What is left after the faults. */
export interface KeptRecord {
  /** Instances that don't listen for callers. */
  readonly silent: readonly string[];
  /** Version of the configuration that the store acknowledged last. */
  readonly acknowledgedVersion: number;
  /** The stored configuration. */
  readonly kept: unknown;
}

/** Finds instances that are gone, and whether the configuration is. */
export const findLost = ({
  silent,
  acknowledgedVersion,
  kept,
}: KeptRecord): readonly invariants.Violation[] => {
  const version = (kept as {readonly version?: number} | undefined)?.version;
  const gone = silent.map(id => ({
    holds: 'in_time' as const,
    invariant: 'every instance listens again after the faults',
    id,
    detail: 'nothing listens at its address for callers',
  }));
  return version === acknowledgedVersion
    ? gone
    : [
        ...gone,
        {
          holds: 'always',
          invariant: 'an acknowledged configuration is kept',
          id: '-',
          detail: `expected version ${acknowledgedVersion}, got ${version}`,
        },
      ];
};
