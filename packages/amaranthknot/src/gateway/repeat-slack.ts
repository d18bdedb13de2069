/** Sets this instance's share of the repeat slack of the whole fleet. */
import type * as gatewayComponents from './gateway-components.js';

/**
 * Fraction of the repeat budget that instances use. Repeats that instances
 * count separately may fall into one window of the whole fleet.
 */
export const REPEAT_BUDGET_FRACTION = 0.95;

/**
 * Divides the repeats that are allowed on top of the ratio among the instances.
 * Each has at least what lets it repeat the first request after a pause. One
 * that has just started has no more: it may not know all others. Call it
 * periodically: the number of instances changes.
 */
export const updateRepeatSlack = (
  get: gatewayComponents.GatewayResolver,
): void => {
  const {ratio, slack} = get('options').settings.current.bounds.retry;
  const leastSlack = Math.max(0, 1 - REPEAT_BUDGET_FRACTION * ratio);
  const count = get('knownFleet').sharers?.length ?? Infinity;
  const total = REPEAT_BUDGET_FRACTION * slack;
  get('repeatBudget').setSlack({
    total,
    share: Math.max(leastSlack, total / count),
  });
};
