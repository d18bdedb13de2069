/** Wires the upstream directory and the limiter of upstreams in cold start. */
import * as decisions from '@amaranthknot/decisions';
import * as entry from '@amaranthknot/entry';
import * as protocol from '@amaranthknot/protocol';
import type * as instanceComponents from './instance-components.js';
import * as instanceState from './instance-state.js';

/**
 * Timeout of a request for slots of a cold upstream, in milliseconds; below the
 * term of a grant.
 */
const GRANT_TIMEOUT_MS = 250;

/**
 * Creates the directory of upstreams. It excludes zones that are out, and zones
 * that are ramping up for a decreasing fraction of requests.
 */
export const createDirectory = (
  get: instanceComponents.InstanceResolver,
): entry.UpstreamDirectory =>
  new entry.UpstreamDirectory({
    placement: get('placement'),
    clock: get('options').clock,
    backoffs: new decisions.UpstreamBackoffs({
      now: () => get('options').clock.now(),
      onBegin: (upstream, forMs) => {
        const detail = `${Math.round(forMs)} ms`;
        get('events').record('upstream_backoff', {upstream, detail});
      },
    }),
    excludedZones: () => instanceState.listExcludedZones(get),
    sampleClosedZones: () => get('zoneRamp').listClosed(Math.random()),
    mayStart: id => get('warmUpLimiter').mayStart(id),
  });

/** Creates the limiter, which requests grants from peers. */
export const createWarmUpLimiter = (
  get: instanceComponents.InstanceResolver,
): entry.WarmUpLimiter => {
  const {clock, warmUpTiming} = get('options');
  const peers = get('peers');
  return new entry.WarmUpLimiter({
    self: peers.self().id,
    clock,
    instances: () => peers.candidates().map(peer => peer.id),
    confirmedAtMs: () =>
      clock.now() - (get('follower').confirmedAgeMs() ?? Infinity),
    inFlight: id => get('placement').find(id)?.inFlight ?? 0,
    ...(warmUpTiming ? {timing: warmUpTiming} : {}),
    notifyCold: upstream => get('events').record('upstream_cold', {upstream}),
    ask: async (instance, params) => {
      const peer = peers.all().find(known => known.id === instance);
      if (!peer) {
        return undefined;
      }
      const answer = await protocol.callPeer(
        get('transport').send,
        peer.address,
        'request_grant',
        params,
        GRANT_TIMEOUT_MS,
      );
      return answer.toMaybe().extract();
    },
  });
};
