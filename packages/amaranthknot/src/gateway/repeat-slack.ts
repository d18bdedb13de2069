/** Sets this instance's share of the repeat slack of the whole fleet. */
import type * as gatewayComponents from './gateway-components.js';

/**
 * Fraction of the repeat budget that instances use. Repeats that instances
 * count separately may fall into one window of the whole fleet.
 */
export const REPEAT_BUDGET_FRACTION = 0.95;

/**
 * Divides the repeats that are allowed on top of the ratio among the instances,
 * at least one for each. Call it periodically: the number of instances changes.
 */
export const updateRepeatSlack = (
  get: gatewayComponents.GatewayResolver,
): void => {
  const {settings, clock} = get('options');
  const count = get('members').idsForShares(clock.now()).length;
  const {slack} = settings.current.bounds.retry;
  get('repeatBudget').setSlack(
    Math.max(1, (REPEAT_BUDGET_FRACTION * slack) / count),
  );
};
