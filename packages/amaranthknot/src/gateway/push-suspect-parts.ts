/**
 * Tells other instances at once of new evidence about parts of prompts that end
 * upstreams.
 *
 * Guards against upstreams that end one after the other until the next regular
 * exchange: each instance sees only its own requests.
 */
import type * as decisions from '@amaranthknot/decisions';
import * as protocol from '@amaranthknot/protocol';
import type * as gatewayComponents from './gateway-components.js';

/**
 * Time over which evidence is gathered before it is sent, in milliseconds: the
 * connections of an upstream that ends break within a few milliseconds.
 */
const GATHER_MS = 30;

/** Longest wait for a peer, in milliseconds. */
const PUSH_TIMEOUT_MS = 700;

/** Creates the function that is called when there is new evidence. */
export const createPushSuspectParts = (
  get: gatewayComponents.GatewayResolver,
): ((source: decisions.EvidenceSource) => void) => {
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
      await pushToWatchers(get);
    }
  };
  return source => {
    hasOwn ||= source === 'own';
    if (!isGathering) {
      isGathering = true;
      void push();
    }
  };
};

const pushToWatchers = async (
  get: gatewayComponents.GatewayResolver,
): Promise<void> => {
  const parts = [...get('partQuarantine').report()];
  const others = get('watchRole')
    .findWatchers()
    .filter(({id}) => id !== get('members').self.id);
  await Promise.all(
    others.map(async ({peers}) => {
      const answer = await protocol.callPeer(
        get('transport').send,
        peers,
        'share_suspect_parts',
        {parts},
        PUSH_TIMEOUT_MS,
      );
      answer.ifLeft(error => {
        get('fleetChangeLogger').logPeerFailure(peers, error);
      });
    }),
  );
};
