/** Factories of the components that confirm the ends of answers. */
import * as gateway from '@amaranthknot/gateway';
import * as routing from '@amaranthknot/routing';
import type * as gatewayComponents from '../gateway-components.js';

/** Tokens of the components that are created here. */
export type AnswerEndComponent = 'confirmEnd';

/**
 * The path at which an upstream may be asked for its health; undefined if it is
 * only connected to: it is cold, limited or full, or its zone is out. One that
 * is leaving or gone is asked: its address may have a new owner already.
 */
const findHealthPath = (
  get: gatewayComponents.GatewayResolver,
  {id, service: name, zone}: routing.Upstream,
): string | undefined => {
  const service = get('state').activeTable()?.table.services.get(name);
  if (!service || get('state').isZoneOut(zone)) {
    return undefined;
  }
  const known = get('catalog').find(id);
  const mayAsk = !known || get('availability').takesHealthCheck(known, service);
  return mayAsk ? service.healthPath : undefined;
};

/** Whether the entry of an upstream is that of a later start. */
const isReplaced = (
  get: gatewayComponents.GatewayResolver,
  {id, startedAtMs}: routing.Upstream,
): boolean => {
  const known = get('catalog').find(id);
  return known !== undefined && known.upstream.startedAtMs !== startedAtMs;
};

/**
 * Whether what listens at an upstream's address may be another process: the
 * upstream was found away and has not answered since, or another one is known
 * there.
 */
const isDoubted = (
  get: gatewayComponents.GatewayResolver,
  upstream: routing.Upstream,
): boolean => {
  const absence = get('upstreamAbsences').find(upstream);
  const isAway = absence !== undefined && absence.answeredAtMs === undefined;
  const address = routing.formatAddress(upstream.address);
  return (
    isAway ||
    get('catalog')
      .all()
      .some(
        ({upstream: other}) =>
          other.id !== upstream.id &&
          routing.formatAddress(other.address) === address,
      )
  );
};

/** Creates the factories by token. */
export const createAnswerEndFactories =
  (): gatewayComponents.ComponentFactories<AnswerEndComponent> => ({
    confirmEnd: get =>
      gateway.createConfirmEnd({
        checkLiveness: gateway.createCheckLiveness({
          clock: get('options').clock,
          requestHealth: get('requestHealth'),
          findHealthPath: upstream => findHealthPath(get, upstream),
          isReplaced: upstream => isReplaced(get, upstream),
          isDoubted: upstream => isDoubted(get, upstream),
          onChecked: ({sign, connections, tookMs}) => {
            get('metrics').recordEndCheck(sign, connections, tookMs);
          },
        }),
        findWaitMs: () => get('loopMonitor').recentMaxWaitMs(),
        onUpstreamEnded: upstream => {
          get('upstreamAbsences').recordOwn(upstream);
        },
      }),
  });
