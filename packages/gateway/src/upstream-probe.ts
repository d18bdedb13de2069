/** Checks whether an upstream can still be reached. */
import * as net from 'node:net';
import * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';
import type * as upstreamEnds from './upstream-ends.js';

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

/** What a new connection showed. */
type ConnectResult = 'accepted' | 'refused' | 'silent';

const connect = (
  {address}: routing.Upstream,
  localAddress: string | undefined,
): Promise<ConnectResult> =>
  new Promise(resolve => {
    const socket = net.connect({
      ...address,
      ...(localAddress === undefined ? {} : {localAddress}),
    });
    const finish = (result: ConnectResult) => {
      cancelTimeout();
      socket.destroy();
      resolve(result);
    };
    const cancelTimeout = ports.startTimeout(() => {
      finish('silent');
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      finish('accepted');
    });
    socket.once('error', () => {
      finish('refused');
    });
  });

/**
 * Creates the check whether an upstream refuses new connections, as where its
 * process has ended. One that is silent may only be out of reach.
 *
 * @param localAddress IP address from which connections are opened.
 */
export const createCheckRefusal =
  (localAddress?: string): upstreamEnds.CheckRefusal =>
  async upstream =>
    (await connect(upstream, localAddress)) === 'refused';

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
    const answer = connect(upstream, localAddress).then(
      result => result === 'accepted',
    );
    probes.set(upstream.id, {atMs: clock.now(), answer});
    return answer.then(isReachable => {
      setTimeout(() => probes.delete(upstream.id), RESULT_TTL_MS).unref();
      return isReachable;
    });
  };
};
