/** Checks the link to one upstream over a new connection. */
import type * as decisions from '@amaranthknot/decisions';
import type * as routing from '@amaranthknot/routing';
import type * as healthRequest from './health-request.js';

/** Resolves to whether an upstream answers a new connection. */
export type CheckLink = (
  upstream: routing.Upstream,
  service: routing.Service,
) => Promise<decisions.LinkResult>;

/** Timeout of a check, in milliseconds: many round trips between zones. */
const CHECK_TIMEOUT_MS = 300;

/** Options of a check. */
export interface CheckLinkOptions {
  readonly requestHealth: healthRequest.RequestHealth;
  /** Called when the upstream says how long it stays cold, in milliseconds. */
  readonly onColdFor: (upstream: routing.Upstream, coldForMs: number) => void;
}

/**
 * Creates a check that asks for the upstream's health. Any answer shows that the
 * link works, also a refusal. A connection alone would not: where something
 * accepts connections on the way, they hang.
 */
export const createCheckLink =
  ({requestHealth, onColdFor}: CheckLinkOptions): CheckLink =>
  async (upstream, {healthPath}) => {
    const found = await requestHealth({
      address: upstream.address,
      healthPath,
      connectTimeoutMs: CHECK_TIMEOUT_MS,
      answerTimeoutMs: CHECK_TIMEOUT_MS,
    });
    if (found.kind !== 'answered') {
      return found.kind === 'silent' ? 'silent' : 'failed';
    }
    if (found.coldForMs !== undefined && found.upstreamId === upstream.id) {
      onColdFor(upstream, found.coldForMs);
    }
    return 'answered';
  };
