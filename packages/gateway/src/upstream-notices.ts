/** What an upstream says about itself in the headers of its answers. */
import * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as headerNames from './header-names.js';
import * as rawHeaders from './raw-headers.js';

/** Notices in one answer. */
export interface UpstreamNotices {
  /**
   * Requests a second that it accepts from all instances together; undefined
   * if it names no limit.
   */
  readonly rateLimit: number | undefined;
  /**
   * Refusals a second, for want of room, above which it fails; undefined if it
   * names none.
   */
  readonly refusalLimit: number | undefined;
  /** Time for which it wants no requests from this instance, in ms. */
  readonly backoffMs: number | undefined;
  /** Whether it is about to exit. */
  readonly isLeaving: boolean;
}

/** Records the notices in an answer of an upstream. */
export type RecordNotices = (
  upstream: routing.Upstream,
  notices: UpstreamNotices,
) => void;

/** Statuses of refusals that may say when to come back. */
const BACKOFF_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Value of the header by which an upstream says that it is leaving. */
const LEAVING = '1';

const RETRY_AFTER = 'retry-after';

/** Parses the notices in the head of an answer. */
export type ParseNotices = (
  status: number,
  headers: rawHeaders.RawHeaders,
) => UpstreamNotices;

/** Creates the parser for headers of these names. */
export const createParseNotices = (
  names: headerNames.HeaderNames,
): ParseNotices => {
  const rateLimitName = names.rateLimit.toLowerCase();
  const refusalLimitName = names.refusalLimit.toLowerCase();
  const leavingName = names.leaving.toLowerCase();
  return (status, headers) => {
    const rateLimit = rawHeaders.findHeader(headers, rateLimitName);
    const refusalLimit = rawHeaders.findHeader(headers, refusalLimitName);
    const retryAfter = BACKOFF_STATUSES.has(status)
      ? rawHeaders.findHeader(headers, RETRY_AFTER)
      : undefined;
    return {
      rateLimit: decisions.parseAmount(rateLimit),
      refusalLimit: decisions.parseAmount(refusalLimit),
      backoffMs: decisions.parseRetryAfterMs(retryAfter),
      isLeaving: rawHeaders.findHeader(headers, leavingName) === LEAVING,
    };
  };
};
