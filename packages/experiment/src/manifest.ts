/** Stored configuration and upstream entries of a simulated deployment. */
import type * as configuration from '@amaranthknot/configuration';
import type * as deployments from './deployment.js';

/** Name of the only service. */
export const SERVICE = 'engines';
/** Host of its routes. */
export const HOST = 'models.example';

const createRoute = (
  {name, timeoutMs, latencyTargetMs}: deployments.RequestClass,
  models: readonly deployments.EmulatedModel[],
): unknown => ({
  name,
  host: HOST,
  pathPrefix: `/${name}/`,
  kind: 'streaming',
  timeoutMs,
  targetLatencyMs: latencyTargetMs,
  priority: 0,
  service: SERVICE,
  maxAttempts: 3,
  public: true,
  resumeStreams: true,
  gapTargetMs: latencyTargetMs,
  sizes: models.map(({name: model}) => model),
});

/** The operators' configuration, one route for each class of requests. */
export const createManifest = ({
  classes,
  models,
  shape,
}: deployments.Deployment): unknown => ({
  version: 1,
  routes: classes.map(request => createRoute(request, models)),
  services: [
    {
      name: SERVICE,
      healthCheckPath: '/health',
      connectionLimit: 1_000,
      coldStartS: 0,
      coldPerS: 0,
      engine: {
        slots: shape.slots,
        kvCacheTokens: shape.cacheTokens,
        models: models.map(({name, cost}) => ({name, cost})),
      },
    },
  ],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  },
});

/** The stored entry of an engine. */
export const createEngineEntry = (
  index: number,
  {zones, shape}: deployments.Deployment,
): unknown => ({
  service: SERVICE,
  address: `192.0.2.${index}:80`,
  zone: `zone-${index % zones}`,
  version: 'v1',
  slots: shape.slots,
  state: 'ready',
  coldRemainingMs: 0,
  born: 1,
  sequence: 1,
});

/** Settings bounds; they matter little, as nothing changes during the load. */
export const BOUNDS: configuration.GatewayBounds = {
  change: {
    configurationMs: 2_000,
    leavingMs: 2_000,
    evacuationMs: 5_000,
    revocationMs: 5_000,
    stopGraceMs: 8_000,
    stabilityMs: 3_000,
  },
  retry: {ratio: 0.9, slack: 100, windowMs: 10_000},
  exposure: {share: 0.15, slack: 30, rollbackMs: 5_000},
  cold: {overrun: 1.5, slack: 5},
  sessionMs: 5_000,
  addressMaxAgeMs: 5_000,
};
