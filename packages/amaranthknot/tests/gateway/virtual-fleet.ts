/** Starts virtual fleets with the bounds and the manifest of these tests. */
import type * as configuration from '@amaranthknot/configuration';
import * as experiment from '@amaranthknot/experiment';
import * as fixture from './gateway-fixture.js';

export type VirtualFleet = experiment.VirtualFleet;
export type VirtualInstance = experiment.VirtualInstance;

/** Size of a fleet, and its bounds if they differ from those of the fixture. */
export interface TestFleetOptions {
  readonly instances: number;
  readonly zones: number;
  readonly isBootstrap?: boolean;
  readonly bounds?: configuration.GatewayBounds;
  readonly manifest?: unknown;
  /** One-way delay of a message between instances, in milliseconds. */
  readonly linkDelayMs?: () => number;
}

/** Starts all instances within 0.3 s of each other. */
export const startVirtualFleet = (
  options: TestFleetOptions,
): Promise<experiment.VirtualFleet> =>
  experiment.startVirtualFleet({
    bounds: fixture.BOUNDS,
    manifest: fixture.createManifest(1),
    ...options,
  });
