/** Announces to peers that an instance leaves. */
import * as protocol from '@amaranthknot/protocol';
import * as configurationRelay from './configuration-relay.js';
import type * as peerTable from './peer-table.js';

/**
 * Number of peers that get the announcement directly; the others learn of it
 * through news.
 */
const ANNOUNCEMENT_PEERS = 8;

/** Dependencies of `announceLeaving`. */
export interface AnnounceLeavingOptions {
  readonly transport: protocol.PeerTransport;
  readonly peers: peerTable.PeerTable;
  readonly random: () => number;
}

/**
 * Announces to random peers that this instance leaves, so that callers are no
 * longer sent to it. The others learn of it as news with their exchanges.
 */
export const announceLeaving = async (
  options: AnnounceLeavingOptions,
): Promise<void> => {
  const {peers, transport, random} = options;
  peers.markLeaving();
  const receivers = peers
    .all()
    .filter(peer => peer.state !== 'dead')
    .map(peer => ({peer, order: random()}))
    .sort((a, b) => a.order - b.order)
    .slice(0, ANNOUNCEMENT_PEERS);
  await Promise.all(
    receivers.map(({peer}) =>
      protocol.callPeer(
        transport,
        peer.address,
        'leaving',
        {from: peers.self()},
        configurationRelay.MESSAGE_TIMEOUT_MS,
      ),
    ),
  );
};
