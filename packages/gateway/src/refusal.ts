/** Refusals: answers that the gateway gives in place of an upstream's. */
import * as decisions from '@amaranthknot/decisions';

/**
 * Why a request is refused.
 *
 * - `not_ready`: no configuration yet, or none confirmed recently enough.
 * - `unknown_route`, `unknown_key`: not in the active configuration.
 * - `too_large`: the body is larger than the configuration allows.
 * - `malformed`: the request cannot be parsed.
 * - `overloaded`: no capacity becomes free in time.
 * - `no_memory`: this instance holds as many bytes of requests as it may.
 * - `expired`: no time is left before the deadline to send it to an upstream.
 * - `no_upstream`: no upstream may take the request now.
 * - `quarantined`: a part of its prompt ends upstreams.
 * - `stopping`: this instance is stopping and accepts no more requests.
 * - `failed`: an upstream may have run it, but no complete answer came.
 * - `timeout`: no final answer before the deadline of the request.
 */
export type RefusalReason =
  | 'not_ready'
  | 'unknown_route'
  | 'unknown_key'
  | 'too_large'
  | 'malformed'
  | 'overloaded'
  | 'no_memory'
  | 'expired'
  | 'no_upstream'
  | 'quarantined'
  | 'stopping'
  | 'failed'
  | 'timeout';

/**
 * Why an attempt was not placed.
 *
 * - `no_upstream`: no upstream may take the request now.
 * - `no_budget`: it would be a repeat, and the repeat budget that all instances
 *   share is spent.
 * - `quarantined`: a part of its prompt ends upstreams.
 */
export type PlacementReason = 'no_upstream' | 'no_budget' | 'quarantined';

/** A refusal of one request. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** When to retry, in milliseconds; only if nothing has run. */
  readonly retryAfterMs?: number;
}

/**
 * HTTP status of each reason. 503 states that the request has not run and never
 * will, so it is used only where that is certain; 502 and 504 leave it open.
 */
const STATUS: Readonly<Record<RefusalReason, number>> = {
  not_ready: 503,
  unknown_route: 404,
  unknown_key: 401,
  too_large: 413,
  malformed: 400,
  overloaded: 503,
  no_memory: 503,
  expired: 503,
  no_upstream: 503,
  quarantined: 503,
  stopping: 503,
  failed: 502,
  timeout: 504,
};

/** How a run ended without an answer. */
export interface UnansweredRun {
  /** Number of upstreams on which the request may have run. */
  readonly runs: number;
  /** Number of times it was sent. */
  readonly sends: number;
  /** Whether its deadline has passed. */
  readonly isTimeUp: boolean;
  /** Why its last attempt was not placed; undefined if it was. */
  readonly notPlaced: PlacementReason | undefined;
  /** Time until an upstream takes it, in milliseconds; undefined if not known. */
  readonly waitMs: number | undefined;
  /** `Retry-After` at least, in milliseconds. */
  readonly minRetryAfterMs: number;
}

/** The refusal of a request whose run gave no answer. */
export const explainRun = (
  {runs, sends, isTimeUp, notPlaced, waitMs, minRetryAfterMs}: UnansweredRun,
  random: () => number,
): Refusal => {
  if (runs > 0) {
    return {reason: isTimeUp ? 'timeout' : 'failed'};
  }
  if (sends === 0 && isTimeUp) {
    return {reason: 'expired', retryAfterMs: 0};
  }
  const drawnMs = decisions.drawRetryAfterMs(waitMs ?? 0, random);
  return {
    reason: notPlaced === 'quarantined' ? 'quarantined' : 'no_upstream',
    retryAfterMs: Math.max(minRetryAfterMs, drawnMs),
  };
};

const MS_PER_S = 1_000;

/** A refusal as it is sent. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Formats a refusal as an HTTP answer. */
export const formatRefusal = (refusal: Refusal): RefusalAnswer => {
  const {reason, retryAfterMs} = refusal;
  const body = Buffer.from(`${JSON.stringify({error: reason})}\n`);
  const headers = [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(body.length),
  ];
  if (retryAfterMs !== undefined) {
    headers.push('Retry-After', (retryAfterMs / MS_PER_S).toFixed(3));
  }
  return {status: STATUS[reason], headers, body};
};
