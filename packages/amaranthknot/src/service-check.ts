/** Checks plain services that have ended an answer without a length. */
import * as gateway from '@amaranthknot/gateway';
import * as platform from '@amaranthknot/platform';
import type * as ports from '@amaranthknot/ports';
import * as routing from '@amaranthknot/routing';
import type * as upstreams from '@amaranthknot/upstreams';

/**
 * Creates the check. Services of this interface have no path for their health
 * and no id that they answer with, so they are only connected to: one that has
 * ended refuses, but another process at its address is not told from it.
 */
export const createCheckService = (
  clock: ports.Clock,
): upstreams.CheckService => {
  const checkLiveness = gateway.createCheckLiveness({
    clock,
    requestHealth: gateway.createRequestHealth(platform.HEADER_NAMES),
    findHealthPath: () => undefined,
    isReplaced: () => false,
    isDoubted: () => false,
    onChecked: () => undefined,
  });
  return async text => {
    const address = routing.parseAddress(text);
    if (!address) {
      return 'unreachable';
    }
    const {sign} = await checkLiveness({id: text, startedAtMs: 0, address});
    return sign;
  };
};
