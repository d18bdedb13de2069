/** Checks whether an upstream that has just ended an answer still lives. */
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';
import type * as healthRequest from './health-request.js';
import * as sharedChecks from './shared-checks.js';
import * as upstreamEnds from './upstream-ends.js';

/** What one check showed. */
export interface Liveness {
  readonly sign: decisions.LivenessSign;
  /** Connections that were opened. */
  readonly connections: number;
  readonly tookMs: number;
}

/** One start of an upstream, and its address. */
export type CheckedUpstream = Pick<
  routing.Upstream,
  'id' | 'startedAtMs' | 'address'
>;

/** Resolves to what an upstream shows after this moment; never rejects. */
export type CheckLiveness<U extends CheckedUpstream = routing.Upstream> = (
  upstream: U,
) => Promise<Liveness>;

/** Options of the checks. */
export interface CheckLivenessOptions<
  U extends CheckedUpstream = routing.Upstream,
> {
  readonly clock: ports.Clock;
  readonly requestHealth: healthRequest.RequestHealth;
  /**
   * The path at which the upstream may be asked for its health now; undefined
   * if it may get no request, and is only connected to.
   */
  readonly findHealthPath: (upstream: U) => string | undefined;
  /** Whether a later start of the upstream is known. */
  readonly isReplaced: (upstream: U) => boolean;
  /** Whether its listener may be that of another process, see `doubted`. */
  readonly isDoubted: (upstream: U) => boolean;
  /** Called at the end of each check. */
  readonly onChecked: (liveness: Liveness) => void;
}

/**
 * Connect timeout, in milliseconds: many round trips between zones, but too
 * short for the retransmission of a lost packet, which the second try replaces.
 */
const CONNECT_TIMEOUT_MS = 100;

/**
 * Longest wait for an answer, in milliseconds. A busy upstream may take longer,
 * but another process that has taken over the address hardly does.
 */
const ANSWER_TIMEOUT_MS = 250;

/** Longest wait for a reset where nothing is asked, in milliseconds. */
const RESET_TIMEOUT_MS = 20;

/**
 * Pause before the second try, in milliseconds: a process that ends closes its
 * connections within a few milliseconds, and may close its listener last.
 */
const RETRY_PAUSE_MS = 20;

/** Results that a second try may explain. */
const UNCLEAR: ReadonlySet<healthRequest.HealthResult['kind']> = new Set([
  'reset',
  'unreachable',
]);

/** Status by which another upstream than the expected one refuses. */
const MISDIRECTED = 421;

const readSign = (
  {id}: CheckedUpstream,
  found: healthRequest.HealthResult,
): decisions.LivenessSign => {
  switch (found.kind) {
    case 'answered': {
      const {status, upstreamId = id} = found;
      const isOther = status === MISDIRECTED || upstreamId !== id;
      return isOther ? 'replaced' : 'answered';
    }
    case 'silent':
      return 'accepted';
    case 'refused':
    case 'reset':
    case 'unreachable':
      return found.kind;
  }
};

/**
 * Creates the checks. Each begins after the end of all answers that share it,
 * so that what answers it was not ended by what ended these.
 */
export const createCheckLiveness = <U extends CheckedUpstream>(
  options: CheckLivenessOptions<U>,
): CheckLiveness<U> => {
  const {clock, requestHealth, findHealthPath, onChecked} = options;
  const shared = new sharedChecks.SharedChecks<Liveness>(ms => clock.sleep(ms));

  const ask = (upstream: U): Promise<healthRequest.HealthResult> => {
    const healthPath = findHealthPath(upstream);
    return requestHealth({
      address: upstream.address,
      healthPath,
      expectedId: upstream.id,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerTimeoutMs:
        healthPath === undefined ? RESET_TIMEOUT_MS : ANSWER_TIMEOUT_MS,
    });
  };

  const judge = (
    upstream: U,
    sign: decisions.LivenessSign,
  ): decisions.LivenessSign => {
    if (options.isReplaced(upstream)) {
      return 'replaced';
    }
    return sign === 'accepted' && options.isDoubted(upstream)
      ? 'doubted'
      : sign;
  };

  const check = async (upstream: U): Promise<Liveness> => {
    const startedAtMs = clock.now();
    let found = await ask(upstream);
    let connections = 1;
    if (UNCLEAR.has(found.kind)) {
      await clock.sleep(RETRY_PAUSE_MS);
      found = await ask(upstream);
      connections++;
    }
    const sign = judge(upstream, readSign(upstream, found));
    const liveness = {sign, connections, tookMs: clock.now() - startedAtMs};
    onChecked(liveness);
    return liveness;
  };

  return upstream =>
    shared.run(upstreamEnds.nameStart(upstream), () => check(upstream));
};
