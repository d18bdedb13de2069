/**
 * Wires the components of a gateway instance; no other module does. Each is
 * registered with a factory and created once, when it is first resolved.
 */
import 'reflect-metadata';
import * as gateway from '@amaranthknot/gateway';
import * as telemetry from '@amaranthknot/telemetry';
import * as tsyringe from 'tsyringe';
import type * as gatewayComponents from './gateway-components.js';
import * as answerEndFactories from './wiring/answer-end-factories.js';
import * as coldFactories from './wiring/cold-factories.js';
import * as fleetFactories from './wiring/fleet-factories.js';
import * as linkFactories from './wiring/link-factories.js';
import * as quarantineFactories from './wiring/quarantine-factories.js';
import * as requestFactories from './wiring/request-factories.js';
import * as storeFactories from './wiring/store-factories.js';

type Factories = gatewayComponents.ComponentFactories<
  keyof gatewayComponents.GatewayComponents
>;

const createFactories = (
  options: gatewayComponents.GatewayOptions,
): Factories => ({
  ...storeFactories.createStoreFactories(options),
  ...fleetFactories.createFleetFactories(options),
  ...requestFactories.createRequestFactories(options),
  ...linkFactories.createLinkFactories(),
  ...quarantineFactories.createQuarantineFactories(options),
  ...coldFactories.createColdFactories(options),
  ...answerEndFactories.createAnswerEndFactories(),
  options: () => options,
  log: get =>
    new telemetry.DecisionLog({
      instance: options.settings.current.instance.id,
      level: options.settings.current.log.level,
      now: () => options.clock.now(),
      onEvent: (event, reason) => {
        get('metrics').recordEvent(event, reason);
      },
    }),
  loopMonitor: get =>
    new gateway.LoopMonitor({
      clock: options.clock,
      onBeat: (turnMs, lateMs) => {
        get('metrics').recordLoopTurn(turnMs);
        if (lateMs > 0) {
          get('log').warn('loop_late', {lateMs: Math.round(lateMs)});
        }
      },
    }),
  metrics: get =>
    new telemetry.GatewayMetrics(() => ({
      inProgress: get('gateway').inProgress,
      configurationAgeMs: get('state').activeTable()?.ageMs,
      upstreams: get('catalog').all().length,
      upstreamsAgeMs: get('state').upstreamsAgeMs(),
      upstreamsInBackoff: get('backoffs').activeCount,
      upstreamsCold: get('coldStarts').coldCount,
      promptPartsHeld: get('partQuarantine').heldParts.length,
      servicesUnreachable: get('upstreamLinks').lostServices.length,
      requestsForwarded: get('peerForwarder').inFlight,
      utilization: get('forwardAdmission').utilization,
      heldBytes: get('memory').heldBytes,
      servingInstances: get('members').serving(options.clock.now()).length,
    })),
});

/**
 * Registers the factories of all components, and returns the resolver. Factories
 * in `overrides` replace those of the same token.
 */
export const wireGateway = (
  options: gatewayComponents.GatewayOptions,
  overrides: gatewayComponents.ComponentOverrides = {},
): gatewayComponents.GatewayResolver => {
  const container = tsyringe.container.createChildContainer();
  // Components are resolved for each message, and this cache is far faster than
  // the container.
  const components: Partial<
    Record<keyof gatewayComponents.GatewayComponents, unknown>
  > = {};
  const get = <K extends keyof gatewayComponents.GatewayComponents>(
    token: K,
  ): gatewayComponents.GatewayComponents[K] => {
    components[token] ??= container.resolve(token);
    return components[token] as gatewayComponents.GatewayComponents[K];
  };
  const register = <K extends keyof gatewayComponents.GatewayComponents>(
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
  ) as (keyof gatewayComponents.GatewayComponents)[]) {
    register(token, factories[token]);
  }
  return get;
};
