/** This instance's part of the repeats that all instances may make. */
import type * as gatewayComponents from './gateway-components.js';

/**
 * Part of the retry budget that instances use: what they count apart may fall
 * into one window.
 */
export const RETRY_BUDGET_FRACTION = 0.95;

/** Works out the repeats on top of the ratio anew. */
export const updateRepeatSlack = (
  get: gatewayComponents.GatewayResolver,
): void => {
  const {settings, clock} = get('options');
  const count = get('members').idsForShares(clock.now()).length;
  const {slack} = settings.current.bounds.retry;
  get('repeats').setSlack(Math.max(1, (RETRY_BUDGET_FRACTION * slack) / count));
};
