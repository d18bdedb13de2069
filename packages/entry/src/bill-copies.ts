/**
 * Copies of pending bills between entry instances: this instance's bills on
 * peers in other zones, and the copies that it keeps for others.
 */
import type * as ledger from '@amaranthknot/ledger';
import * as protocol from '@amaranthknot/protocol';

/** What copying works with. */
export interface BillCopiesOptions {
  readonly zone: string;
  readonly transport: protocol.PeerTransport;
  /** Peers that are live now. */
  readonly peers: () => readonly protocol.Peer[];
  /** Peers that should hold a copy. */
  readonly quorum: number;
  /** Bills kept for others; past it copies are refused. */
  readonly maxHeld?: number;
}

/** Time for one message, in milliseconds; below the keeper's own. */
const MESSAGE_TIMEOUT_MS = 250;

/** About 20 MB of bills. */
const DEFAULT_MAX_HELD = 50_000;

type Lane = ledger.PendingBill[];

/** Sends and keeps copies of pending bills. */
export class BillCopies {
  private holders: string[] = [];
  private readonly held = new Map<string, Map<string, Lane>>();
  private heldCount = 0;

  constructor(private readonly options: BillCopiesOptions) {}

  /**
   * Copies a batch to the peers that hold earlier ones. Holders stay the same
   * while they live, whoever joins or leaves besides: a new set at each change
   * of membership would copy everything again.
   */
  async copy(batch: ledger.CopyBatch): Promise<number> {
    const holders = this.chooseHolders();
    const sent = await Promise.all(holders.map(peer => this.send(peer, batch)));
    return sent.filter(accepted => accepted).length;
  }

  /**
   * Keeps copies for a peer, by lane, so that a message costs what it holds
   * and not what is kept; answers how many were taken.
   */
  keep(
    owner: string,
    bills: readonly ledger.PendingBill[],
    writtenLanes: readonly string[],
  ): number {
    const lanes = this.held.get(owner) ?? new Map<string, Lane>();
    for (const lane of writtenLanes) {
      this.heldCount -= lanes.get(lane)?.length ?? 0;
      lanes.delete(lane);
    }
    const room = (this.options.maxHeld ?? DEFAULT_MAX_HELD) - this.heldCount;
    const taken = bills.slice(0, Math.max(0, room));
    this.heldCount += taken.length;
    for (const pending of taken) {
      const lane = lanes.get(pending.lane) ?? [];
      lane.push(pending);
      lanes.set(pending.lane, lane);
    }
    if (lanes.size > 0) {
      this.held.set(owner, lanes);
    } else {
      this.held.delete(owner);
    }
    return taken.length;
  }

  /** Owners whose bills are kept here. */
  owners(): readonly string[] {
    return [...this.held.keys()];
  }

  /** Copies kept for one owner. */
  of(owner: string): readonly ledger.PendingBill[] {
    return [...(this.held.get(owner)?.values() ?? [])].flat();
  }

  /** Forgets copies that were recovered. */
  drop(owner: string): void {
    this.heldCount -= this.of(owner).length;
    this.held.delete(owner);
  }

  private chooseHolders(): readonly protocol.Peer[] {
    const live = this.options
      .peers()
      .filter(peer => peer.state === 'live' && peer.zone !== this.options.zone);
    const kept = live.filter(peer => this.holders.includes(peer.id));
    const zones = new Set(kept.map(peer => peer.zone));
    const fresh = live
      .filter(peer => !kept.includes(peer))
      // Zones without a copy first: one lost zone must not take both copies.
      .sort((a, b) => Number(zones.has(a.zone)) - Number(zones.has(b.zone)));
    const chosen = [...kept, ...fresh].slice(0, this.options.quorum);
    this.holders = chosen.map(peer => peer.id);
    return chosen;
  }

  private async send(
    peer: protocol.Peer,
    batch: ledger.CopyBatch,
  ): Promise<boolean> {
    const answer = await protocol.callPeer(
      this.options.transport,
      peer.address,
      'copy_bills',
      {
        owner: batch.incarnation,
        bills: [...batch.bills],
        writtenLanes: [...batch.writtenLanes],
      },
      MESSAGE_TIMEOUT_MS,
    );
    return answer.caseOf({
      Left: () => false,
      Right: ({accepted}) => accepted === batch.bills.length,
    });
  }
}
