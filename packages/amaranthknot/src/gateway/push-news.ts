/**
 * Tells other instances at once of news about upstreams, versions and prompts.
 *
 * Guards against upstreams that end one after the other, or are flooded when
 * they are back, until the next regular exchange: each instance sees only its
 * own requests.
 */
import type * as decisions from '@amaranthknot/decisions';
import * as protocol from '@amaranthknot/protocol';
import type * as gatewayComponents from './gateway-components.js';

/** Messages that carry news. */
type NewsMethod = 'share_suspect_parts' | 'share_absences' | 'share_rollouts';

/**
 * Time over which news is gathered before it is sent, in milliseconds: the
 * connections of an upstream that ends break within a few milliseconds.
 */
const GATHER_MS = 30;

/** Longest wait for a peer, in milliseconds. */
const PUSH_TIMEOUT_MS = 700;

/** Creates the function that is called when there is news. */
export const createPushNews = <M extends NewsMethod>(
  get: gatewayComponents.GatewayResolver,
  method: M,
  createMessage: () => protocol.Params<M>,
): ((origin: decisions.NewsOrigin) => void) => {
  let isGathering = false;
  let hasOwn = false;
  const push = async (): Promise<void> => {
    await get('options').clock.sleep(GATHER_MS);
    const isOwn = hasOwn;
    isGathering = false;
    hasOwn = false;
    // The peers that wait for news from this instance get its summary.
    get('relay').releaseWaiters();
    if (isOwn) {
      await pushToWatchers(get, method, createMessage());
    }
  };
  return origin => {
    hasOwn ||= origin === 'own';
    if (!isGathering) {
      isGathering = true;
      void push();
    }
  };
};

const pushToWatchers = async <M extends NewsMethod>(
  get: gatewayComponents.GatewayResolver,
  method: M,
  message: protocol.Params<M>,
): Promise<void> => {
  const others = get('watchRole')
    .findWatchers()
    .filter(({id}) => id !== get('members').self.id);
  await Promise.all(
    others.map(async ({peers}) => {
      const answer = await protocol.callPeer(
        get('transport').send,
        peers,
        method,
        message,
        PUSH_TIMEOUT_MS,
      );
      answer.ifLeft(error => {
        get('fleetChangeLogger').logPeerFailure(peers, error);
      });
    }),
  );
};
