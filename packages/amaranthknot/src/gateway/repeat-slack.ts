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
 *
 * Instances that hear of each other have as large a part of the total as they
 * are of all: those that are silent may have the rest among themselves.
 */
export const updateRepeatSlack = (
  get: gatewayComponents.GatewayResolver,
): void => {
  const {clock, settings} = get('options');
  const {ratio, slack} = settings.current.bounds.retry;
  const leastSlack = Math.max(0, 1 - REPEAT_BUDGET_FRACTION * ratio);
  const count = get('knownFleet').sharers?.length ?? Infinity;
  const liveCount = get('members').live(clock.now()).length;
  const share = (REPEAT_BUDGET_FRACTION * slack) / count;
  get('repeatBudget').setSlack({
    total: liveCount * share,
    share: Math.max(leastSlack, share),
  });
};
