/**
 * Finds entry instances from the platform's list, or from configured addresses.
 */
import type * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as configurationRelay from './configuration-relay.js';
import type * as peerTable from './peer-table.js';

/**
 * Minimum time between reads of the platform's list, and the rate of the whole
 * fleet that it must not exceed: 1,000 instances each read it every 50 s.
 */
const MIN_LIST_INTERVAL_MS = 5_000;
const LISTS_PER_S = 20;

/** Dependencies and settings of a `PeerDiscovery`. */
export interface PeerDiscoveryOptions {
  readonly instances: ports.InstanceList;
  readonly transport: protocol.PeerTransport;
  readonly peers: peerTable.PeerTable;
  readonly clock: ports.Clock;
  /**
   * Addresses from the settings, called while the platform's list is
   * unavailable.
   */
  readonly seeds?: readonly string[];
}

/** Keeps the peer table up to date with the platform's list. */
export class PeerDiscovery {
  constructor(private readonly options: PeerDiscoveryOptions) {}

  /** Time to the next read, in milliseconds; grows with the fleet. */
  intervalMs(): number {
    const size = this.options.peers.size();
    return Math.max(MIN_LIST_INTERVAL_MS, (size / LISTS_PER_S) * 1_000);
  }

  /**
   * Reads the list. If it is unavailable and no peer is known, asks the seeds.
   */
  async refresh(): Promise<void> {
    const {instances, peers, clock} = this.options;
    const listed = await instances.list();
    listed.ifRight(rows => peers.applyList(rows, clock.now()));
    if (listed.isLeft() && peers.all().length === 0) {
      await this.askSeeds();
    }
  }

  private async askSeeds(): Promise<void> {
    const {seeds = [], transport, peers, clock} = this.options;
    for (const address of seeds) {
      const answer = await protocol.callPeer(
        transport,
        address,
        'list_peers',
        {},
        configurationRelay.MESSAGE_TIMEOUT_MS,
      );
      answer.ifRight(({peers: rows}) => peers.applyNews(rows, clock.now()));
      if (answer.isRight()) {
        return;
      }
    }
  }
}
