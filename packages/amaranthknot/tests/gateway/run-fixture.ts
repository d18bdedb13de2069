/** Runs of requests whose calls of upstreams a test answers itself. */
import * as events from 'node:events';
import * as decisions from '@amaranthknot/decisions';
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import * as ports from '@amaranthknot/ports';
import type * as virtualFleet from './virtual-fleet.js';

/** A log that keeps nothing. */
export const NO_LOG: gateway.RunContext['log'] = {
  step: () => undefined,
  failure: () => undefined,
};

/** An event loop that reads everything as it arrives. */
export const PUNCTUAL_LOOP: gateway.LoopState = {
  maxWaitMs: () => 0,
  whenRead: () => Promise.resolve(Infinity),
};

/** Waits for the end of a run that has just been read. */
export const awaitRunEnd = (
  response: events.EventEmitter,
  now: () => number,
  endsAtMs: number,
): gateway.RunEnd =>
  gateway.awaitRunEnd({
    response,
    connection: new events.EventEmitter(),
    clock: {now},
    loop: PUNCTUAL_LOOP,
    endsAtMs,
    waitedMs: 0,
  });

/** Dependencies of runs at an instance, with the calls replaced. */
export const createRunDependencies = (
  {get}: virtualFleet.VirtualInstance,
  call: gateway.OpenCall,
  place: gateway.PlaceAttempt = toPlace => get('placement').place(toPlace),
): gateway.RunDependencies => ({
  clock: ports.systemClock,
  random: () => 0.5,
  headerConventions: {
    headers: platform.HEADER_NAMES,
    instanceOnlyHeaders: [],
  },
  place,
  openCall: call,
  openForward: call,
  links: {
    isLost: () => false,
    whenLost: () => new Promise(() => undefined),
  },
  latencies: new decisions.LatencyEstimates(),
  probe: () => Promise.resolve(true),
  probePeer: () => Promise.resolve(true),
  escalation: get('escalationPolicy'),
  confirmEnd: get('confirmEnd'),
});
