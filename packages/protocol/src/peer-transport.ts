/** Port that sends a request's text to another instance. */
import type * as purify from 'purify-ts';

/**
 * Reason why a message has no result.
 *
 * - `not_sent`: no byte reached the peer.
 * - `unknown`: no answer arrived; the peer may have acted.
 * - `refused`: the peer answered with an error, and did not act.
 * - `failed`: the peer's handler failed; it may have acted in part.
 * - `invalid`: the answer does not match the message.
 */
export type PeerErrorCode =
  'not_sent' | 'unknown' | 'refused' | 'failed' | 'invalid';

/** Error of a message that has no result. */
export interface PeerError {
  readonly code: PeerErrorCode;
  readonly message: string;
}

/**
 * Sends `requestText` to the instance at `address` (`host:port`) and resolves
 * to its answer, or to an error after at most `timeoutMs`. Never rejects.
 */
export type PeerTransport = (
  address: string,
  requestText: string,
  timeoutMs: number,
) => Promise<purify.Either<PeerError, string>>;
