/** Explains why an attempt was not placed, and when that may change. */
import type * as routing from '@amaranthknot/routing';
import type * as runContext from './run-context.js';
import type * as upstreamAvailability from './upstream-availability.js';
import type * as upstreamCatalog from './upstream-catalog.js';

type Known = upstreamCatalog.KnownUpstream;

/** What a refusal is explained from. */
export interface RefusalInputs {
  readonly availability: upstreamAvailability.UpstreamAvailability;
  /** The upstreams that may run the request by service, region and version. */
  readonly inService: readonly Known[];
  /** Time since the list of upstreams was known to be complete, in ms. */
  readonly upstreamsAgeMs: number;
}

/** Time until the first of them takes a request; undefined if not known. */
const findWaitMs = (
  service: routing.Service,
  {availability, inService}: RefusalInputs,
): number | undefined => {
  const waits = inService.map(known => availability.findWaitMs(known, service));
  const known = waits.filter(waitMs => waitMs !== undefined);
  const isKnown = known.length > 0 && known.length === waits.length;
  return isKnown ? Math.min(...known) : undefined;
};

/** Creates the refusal of an attempt. */
export const createPlacementRefusal = (
  reason: runContext.PlacementRefusal['reason'],
  {request, excluded}: runContext.PlacementRequest,
  refusalInputs: RefusalInputs,
): runContext.PlacementRefusal => {
  const {service} = request;
  const {availability, inService, upstreamsAgeMs} = refusalInputs;
  const reasons = inService.map(known =>
    availability.findWaitReason(known, service),
  );
  const count = (counted: upstreamAvailability.WaitReason): number =>
    reasons.filter(found => found === counted).length;
  return {
    reason,
    waitMs:
      reason === 'no_upstream' ? findWaitMs(service, refusalInputs) : undefined,
    inputs: {
      inService: inService.length,
      excluded: inService.filter(({upstream}) => excluded.has(upstream.id))
        .length,
      backingOff: count('backing_off'),
      cold: count('cold'),
      limited: count('limited'),
      atCapacity: count('at_capacity'),
      upstreamsAgeMs,
    },
  };
};
