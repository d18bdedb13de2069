/** Checks whether an upstream can still be reached. */
import * as net from 'node:net';
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';

/** Resolves to whether an upstream accepts a connection now. */
export type ProbeUpstream = (upstream: routing.Upstream) => Promise<boolean>;

/**
 * Connect timeout, in milliseconds: many round trips between zones, but too
 * short for the retransmission of a lost packet.
 */
const CONNECT_TIMEOUT_MS = 150;

/** How long a result is reused for the same upstream, in milliseconds. */
const RESULT_TTL_MS = 300;

interface CachedProbe {
  readonly atMs: number;
  readonly answer: Promise<boolean>;
}

const connect = (
  {address}: routing.Upstream,
  localAddress: string | undefined,
): Promise<boolean> =>
  new Promise(resolve => {
    const socket = net.connect({
      ...address,
      ...(localAddress === undefined ? {} : {localAddress}),
    });
    const finish = (isReachable: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isReachable);
    };
    const timer = setTimeout(() => {
      finish(false);
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('error', () => {
      finish(false);
    });
  });

/**
 * Creates a probe. It distinguishes an engine that is busy with a long prompt
 * from one that lost power: both are silent, but the busy one still accepts
 * connections. Of all streams that probe one upstream, only one connects.
 *
 * @param localAddress IP address from which connections are opened.
 */
export const createProbe = (
  clock: ports.Clock,
  localAddress?: string,
): ProbeUpstream => {
  const probes = new Map<string, CachedProbe>();
  return upstream => {
    const known = probes.get(upstream.id);
    if (known && clock.now() - known.atMs < RESULT_TTL_MS) {
      return known.answer;
    }
    const answer = connect(upstream, localAddress);
    probes.set(upstream.id, {atMs: clock.now(), answer});
    return answer.then(isReachable => {
      setTimeout(() => probes.delete(upstream.id), RESULT_TTL_MS).unref();
      return isReachable;
    });
  };
};
