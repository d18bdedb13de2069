/**
 * The one module that wires the parts of a gateway instance. Parts are
 * registered by factory; each is made once, when first asked for.
 */
import 'reflect-metadata';
import * as telemetry from '@amaranthknot/telemetry';
import * as tsyringe from 'tsyringe';
import type * as gatewayTokens from './gateway-tokens.js';
import * as fleetFactories from './wiring/fleet-factories.js';
import * as requestFactories from './wiring/request-factories.js';
import * as storeFactories from './wiring/store-factories.js';

type Factories = gatewayTokens.PartFactories<keyof gatewayTokens.GatewayWiring>;

const createFactories = (options: gatewayTokens.GatewayOptions): Factories => ({
  ...storeFactories.createStoreFactories(options),
  ...fleetFactories.createFleetFactories(options),
  ...requestFactories.createRequestFactories(options),
  options: () => options,
  log: get =>
    new telemetry.DecisionLog({
      instance: options.settings.current.instance.id,
      level: options.settings.current.log.level,
      now: () => options.clock.now(),
      onEvent: (event, reason) => {
        get('metrics').noteEvent(event, reason);
      },
    }),
  metrics: get =>
    new telemetry.GatewayMetrics(() => ({
      inProgress: get('gateway').inProgress,
      configurationAgeMs: get('state').inForce()?.ageMs,
      upstreams: get('catalog').all().length,
      upstreamsAgeMs: get('state').upstreamsAgeMs(),
      servingInstances: get('members').serving(options.clock.now()).length,
    })),
});

/** Registers all parts; returns how to get one. */
export const wireGateway = (
  options: gatewayTokens.GatewayOptions,
  overrides: gatewayTokens.PartOverrides = {},
): gatewayTokens.ResolveGateway => {
  const container = tsyringe.container.createChildContainer();
  // Parts are asked for on each message; the container takes far longer.
  const parts: Partial<Record<keyof gatewayTokens.GatewayWiring, unknown>> = {};
  const get = <K extends keyof gatewayTokens.GatewayWiring>(
    token: K,
  ): gatewayTokens.GatewayWiring[K] => {
    parts[token] ??= container.resolve(token);
    return parts[token] as gatewayTokens.GatewayWiring[K];
  };
  const register = <K extends keyof gatewayTokens.GatewayWiring>(
    token: K,
    factory: Factories[K],
  ): void => {
    container.register(token, {
      useFactory: tsyringe.instanceCachingFactory(() => factory(get)),
    });
  };
  const factories = {...createFactories(options), ...overrides};
  for (const token of Object.keys(
    factories,
  ) as (keyof gatewayTokens.GatewayWiring)[]) {
    register(token, factories[token]);
  }
  return get;
};
