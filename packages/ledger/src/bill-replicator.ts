/** Replicates this instance's pending bills to peers in other zones. */
import type * as billTypes from './bill.js';
import * as replicaSelection from './replica-selection.js';
import type * as copyQueue from './copy-queue.js';

/** Dependencies and settings of a `BillReplicator`. */
export interface BillReplicatorOptions {
  readonly quorum: number;
  /** Live peers in other zones, ranked by rendezvous hashing, best first. */
  readonly candidates: () => readonly replicaSelection.ReplicaCandidate[];
  /**
   * Sends a batch; resolves with whether the peer holds it now. It must have a
   * timeout of its own.
   */
  readonly send: (peer: string, batch: copyQueue.CopyBatch) => Promise<boolean>;
  /** All bills of this instance that are not in the object API. */
  readonly pending: () => readonly billTypes.PendingBill[];
  readonly selectReplicas?: replicaSelection.ReplicaSelector;
}

/** Rounds of replacing failed replicas per batch, so that an answer can end. */
const MAX_REPLACEMENTS = 2;

/**
 * Maintains a set of replicas that hold all pending bills. `replicate` serves
 * as `copyToPeers` of a `BillLedger`.
 */
export class BillReplicator {
  private replicas: readonly string[] = [];
  private lastBatch: Promise<unknown> = Promise.resolve();
  /** Number of bills sent again because the set of replicas changed. */
  recopiedBills = 0;

  constructor(private readonly options: BillReplicatorOptions) {}

  /**
   * Sends a batch to all replicas; resolves with how many hold it now. Batches
   * are sent one at a time: of two at once, each could drop a peer that the
   * other counts as a replica.
   */
  replicate(batch: copyQueue.CopyBatch): Promise<number> {
    const copied = this.lastBatch.then(() => this.replicateNow(batch));
    this.lastBatch = copied;
    return copied;
  }

  /**
   * Replaces replicas that left or that share a zone; sends nothing when the
   * replicas stay the same. Call it on each membership change and also every
   * few seconds: replicas may have been chosen during a change that was
   * reverted before a caller noticed it.
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

  /** @returns peers that did not accept the batch */
  private async sendToAll(
    batch: copyQueue.CopyBatch,
    refused: readonly string[],
  ): Promise<readonly string[]> {
    const before = this.replicas;
    const selected = this.selectReplicas(refused);
    const sent = selected.map(async peer => {
      const isAccepted = await this.sendTo(peer, batch, before.includes(peer));
      return {peer, isAccepted};
    });
    const results = await Promise.all(sent);
    const holders = results.filter(result => result.isAccepted);
    this.replicas = holders.map(result => result.peer);
    return results
      .filter(result => !result.isAccepted)
      .map(result => result.peer);
  }

  /**
   * A new replica gets all pending bills: it may be the only one to survive.
   */
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
    const select = selectReplicas ?? replicaSelection.selectStickyReplicas;
    return select(this.replicas, usable, quorum);
  }
}
