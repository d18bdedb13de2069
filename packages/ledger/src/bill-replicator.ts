/** Copies of this instance's pending bills on peers in other zones. */
import type * as billTypes from './bill.js';
import * as replicaSelection from './replica-selection.js';
import type * as copyQueue from './copy-queue.js';

/** What copies to peers work with. */
export interface BillReplicatorOptions {
  readonly quorum: number;
  /** Live peers in other zones, the preferred (by rendezvous) first. */
  readonly candidates: () => readonly replicaSelection.ReplicaCandidate[];
  /** Sends a batch; whether the peer holds it now. Bounds its own time. */
  readonly send: (peer: string, batch: copyQueue.CopyBatch) => Promise<boolean>;
  /** All bills of this instance that are not in the object API. */
  readonly pending: () => readonly billTypes.PendingBill[];
  readonly selectReplicas?: replicaSelection.ReplicaSelector;
}

/** Peers tried for one batch beyond the quorum, so that an answer can end. */
const MAX_REPLACEMENTS = 2;

/**
 * Keeps a set of replicas which hold all pending bills. `copy` is meant as
 * `copyToPeers` of a `BillLedger`.
 */
export class BillReplicator {
  private replicas: readonly string[] = [];
  private lastBatch: Promise<unknown> = Promise.resolve();
  /** Bills sent to a peer anew because the set of replicas changed. */
  recopiedBills = 0;

  constructor(private readonly options: BillReplicatorOptions) {}

  /**
   * Sends a batch to all replicas; answers how many hold it now. One batch at
   * a time: two at once could each drop a peer that the other counts on.
   */
  replicate(batch: copyQueue.CopyBatch): Promise<number> {
    const copied = this.lastBatch.then(() => this.replicateNow(batch));
    this.lastBatch = copied;
    return copied;
  }

  /**
   * Replaces replicas that left or share a zone. Call it every few seconds as
   * well as on a change: a change that came and went between two looks may
   * have shaped the choice made in that moment. It sends nothing when the
   * replicas stay.
   */
  async refreshReplicas(incarnation: string): Promise<number> {
    const pending = this.options.pending();
    if (pending.length === 0) {
      this.replicas = this.selectReplicas([]);
      return this.replicas.length;
    }
    return this.replicate({incarnation, bills: [], writtenLanes: []});
  }

  private async replicateNow(batch: copyQueue.CopyBatch): Promise<number> {
    let refused: readonly string[] = [];
    for (let round = 0; round <= MAX_REPLACEMENTS; round++) {
      refused = [...refused, ...(await this.sendToAll(batch, refused))];
      if (this.replicas.length >= this.options.quorum) {
        break;
      }
    }
    return this.replicas.length;
  }

  /** @returns peers that did not take the batch */
  private async sendToAll(
    batch: copyQueue.CopyBatch,
    refused: readonly string[],
  ): Promise<readonly string[]> {
    const before = this.replicas;
    const wanted = this.selectReplicas(refused);
    const sent = wanted.map(async peer => {
      const taken = await this.sendTo(peer, batch, before.includes(peer));
      return {peer, taken};
    });
    const results = await Promise.all(sent);
    const holders = results.filter(result => result.taken);
    this.replicas = holders.map(result => result.peer);
    return results.filter(result => !result.taken).map(result => result.peer);
  }

  /** A new replica gets everything pending: it may be the only one to live. */
  private async sendTo(
    peer: string,
    batch: copyQueue.CopyBatch,
    isCurrent: boolean,
  ): Promise<boolean> {
    if (isCurrent) {
      const empty = batch.bills.length + batch.writtenLanes.length === 0;
      return empty || this.options.send(peer, batch);
    }
    const pending = this.options.pending();
    this.recopiedBills += pending.length - batch.bills.length;
    return this.options.send(peer, {...batch, bills: pending});
  }

  private selectReplicas(refused: readonly string[]): readonly string[] {
    const {candidates, quorum, selectReplicas} = this.options;
    const usable = candidates().filter(peer => !refused.includes(peer.id));
    const chosen = selectReplicas ?? replicaSelection.selectStickyReplicas;
    return chosen(this.replicas, usable, quorum);
  }
}
