/** Sends copies of pending bills to peers, many bills to one message. */
import type * as ports from '@amaranthknot/ports';
import type * as billTypes from './bill.js';

/** A message from the owner of bills to the peers that hold copies of them. */
export interface CopyBatch {
  /** Incarnation of the owner. */
  readonly incarnation: string;
  readonly bills: readonly billTypes.PendingBill[];
  /** Lanes that are in the object API; their copies can be deleted. */
  readonly writtenLanes: readonly string[];
}

/** Dependencies and settings of a `CopyQueue`. */
export interface CopyQueueOptions {
  readonly clock: ports.Clock;
  readonly incarnation: string;
  /** Resolves with the number of peers in other zones that hold the batch. */
  readonly copyToPeers: (batch: CopyBatch) => Promise<number>;
  /** Timeout of one batch, in milliseconds; after it no peer is counted. */
  readonly timeoutMs: number;
}

interface QueuedBill {
  readonly pending: billTypes.PendingBill;
  readonly resolve: (copies: number) => void;
}

/**
 * Sends one message at a time; bills that arrive meanwhile go into the next
 * one. Under peak load messages get larger instead of more numerous.
 */
export class CopyQueue {
  private waiting: QueuedBill[] = [];
  private writtenLanes: string[] = [];
  private busy = false;

  constructor(private readonly options: CopyQueueOptions) {}

  /** Queues a bill; resolves with the number of peers that hold it. */
  copy(pending: billTypes.PendingBill): Promise<number> {
    return new Promise(resolve => {
      this.waiting.push({pending, resolve});
      if (!this.busy) {
        void this.drain();
      }
    });
  }

  /**
   * Records a written lane; the next message tells peers to delete its copies.
   */
  release(lane: string): void {
    this.writtenLanes.push(lane);
  }

  hasReleases(): boolean {
    return this.writtenLanes.length > 0;
  }

  /** Sends one batch without queueing it. */
  async send(bills: readonly billTypes.PendingBill[]): Promise<number> {
    const {clock, copyToPeers, incarnation, timeoutMs} = this.options;
    const writtenLanes = this.writtenLanes;
    this.writtenLanes = [];
    const answered = new AbortController();
    const timeout = clock.sleep(timeoutMs, answered.signal).then(() => 0);
    const sent = copyToPeers({incarnation, bills, writtenLanes});
    const copies = await Promise.race([sent, timeout]);
    answered.abort();
    return copies;
  }

  private async drain(): Promise<void> {
    this.busy = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting;
      this.waiting = [];
      const copies = await this.send(batch.map(entry => entry.pending));
      for (const entry of batch) {
        entry.resolve(copies);
      }
    }
    this.busy = false;
  }
}
