/** This instance's part of the repeats that all instances may make. */
import type * as gatewayTokens from './gateway-tokens.js';

/**
 * Part of the retry budget that instances use: what they count apart may fall
 * into one window.
 */
export const RETRY_PART = 0.95;

/** Works out the repeats on top of the ratio anew. */
export const updateRepeatSlack = (get: gatewayTokens.ResolveGateway): void => {
  const {settings, clock} = get('options');
  const count = get('members').idsForShares(clock.now()).length;
  const {slack} = settings.current.bounds.retry;
  get('repeats').setSlack(Math.max(1, (RETRY_PART * slack) / count));
};
