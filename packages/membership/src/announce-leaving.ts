/** Tells the fleet that an instance leaves. */
import * as protocol from '@amaranthknot/protocol';
import * as configurationRelay from './configuration-relay.js';
import type * as peerTable from './peer-table.js';

/** Peers told at once that this instance leaves; news tells the others. */
const ANNOUNCEMENT_PEERS = 8;

/** Parts that the announcement works with. */
export interface AnnounceLeavingOptions {
  readonly transport: protocol.PeerTransport;
  readonly peers: peerTable.PeerTable;
  readonly random: () => number;
}

/**
 * Tells random peers that this instance leaves; the news reaches the others
 * with their exchanges. Callers are then no longer sent to it.
 */
export const announceLeaving = async (
  options: AnnounceLeavingOptions,
): Promise<void> => {
  const {peers, transport, random} = options;
  peers.markLeaving();
  const told = peers
    .all()
    .filter(peer => peer.state !== 'dead')
    .map(peer => ({peer, order: random()}))
    .sort((a, b) => a.order - b.order)
    .slice(0, ANNOUNCEMENT_PEERS);
  await Promise.all(
    told.map(({peer}) =>
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
