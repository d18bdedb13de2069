/** Port that carries a request's text to another entry instance. */
import type * as purify from 'purify-ts';

/**
 * Why a message has no result.
 *
 * - `not_sent`: no byte reached the peer.
 * - `unknown`: the answer is missing; the peer may have acted.
 * - `refused`: the peer answered with an error, and did not act.
 * - `failed`: the peer's handler failed; it may have acted in part.
 * - `invalid`: the answer is not one to this message.
 */
export type PeerErrorCode =
  'not_sent' | 'unknown' | 'refused' | 'failed' | 'invalid';

/** A message that has no result. */
export interface PeerError {
  readonly code: PeerErrorCode;
  readonly message: string;
}

/**
 * Carries `requestText` to the instance at `address` (`host:port`) and brings
 * its answer, or an error after at most `timeoutMs`. It never rejects.
 */
export type PeerTransport = (
  address: string,
  requestText: string,
  timeoutMs: number,
) => Promise<purify.Either<PeerError, string>>;
