/** Creates placement requests for instances of a virtual fleet. */
import type * as gateway from '@amaranthknot/gateway';
import type * as routing from '@amaranthknot/routing';
import * as fixture from './gateway-fixture.js';
import type * as virtualFleet from './virtual-fleet.js';

/**
 * A placement request for the route `read`; throws if the instance has no
 * table.
 */
export const createPlacementRequest = (
  {get}: virtualFleet.VirtualInstance,
  id: string,
  routeOverrides: Partial<routing.Route> = {},
): gateway.PlacementRequest => {
  const table = get('state').activeTable()?.table;
  const route = table?.routes.find(({name}) => name === 'read');
  const service = table?.services.get('svc');
  if (!route || !service) {
    throw new Error(
      'instance has no active table with route read and service svc',
    );
  }
  const now = get('options').clock.now();
  return {
    request: {
      caller: {
        id,
        method: 'GET',
        target: '/read/1',
        host: fixture.HOST,
        headers: [],
        body: Buffer.alloc(0),
        apiKey: undefined,
        deadlineMs: now + 3_000,
        receivedAtMs: now,
        session: undefined,
        lastEventId: undefined,
        generation: undefined,
      },
      route: {...route, ...routeOverrides},
      service,
      workspace: undefined,
      deadlineMs: now + 3_000,
      configuration: 1,
    },
    purpose: 'first',
    model: undefined,
    excluded: new Set(),
    history: {
      sends: 0,
      isCounted: false,
      isRepeat: false,
      hasUnreached: false,
      runs: 0,
    },
  };
};
