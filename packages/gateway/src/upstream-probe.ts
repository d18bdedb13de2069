/** Finds out whether an upstream can still be reached. */
import * as net from 'node:net';
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';

/** Tells whether an upstream accepts a connection now. */
export type ProbeUpstream = (upstream: routing.Upstream) => Promise<boolean>;

/**
 * Longest wait for a connection, in milliseconds: many round trips between
 * zones, and a lost packet is not sent again within it.
 */
const CONNECT_TIMEOUT_MS = 150;

/** Time for which an answer holds, in milliseconds, for all who ask. */
const RESULT_TTL_MS = 300;

interface CachedProbe {
  readonly atMs: number;
  readonly answer: Promise<boolean>;
}

const connect = ({address}: routing.Upstream): Promise<boolean> =>
  new Promise(resolve => {
    const socket = net.connect(address);
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
 * Creates a probe. An engine that is busy with a long prompt is silent for as
 * long as one that has lost its power, but it still accepts a connection. Of
 * all streams that ask about one upstream, one connects.
 */
export const createProbe = (clock: ports.Clock): ProbeUpstream => {
  const probes = new Map<string, CachedProbe>();
  return upstream => {
    const known = probes.get(upstream.id);
    if (known && clock.now() - known.atMs < RESULT_TTL_MS) {
      return known.answer;
    }
    const answer = connect(upstream);
    probes.set(upstream.id, {atMs: clock.now(), answer});
    return answer.then(isReachable => {
      setTimeout(() => probes.delete(upstream.id), RESULT_TTL_MS).unref();
      return isReachable;
    });
  };
};
