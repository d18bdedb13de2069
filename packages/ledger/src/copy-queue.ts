/** Sends copies of pending bills to peers, gathered into few messages. */
import type * as ports from '@amaranthknot/ports';
import type * as billTypes from './bill.js';

/** A message to the peers that hold copies of this instance's bills. */
export interface CopyBatch {
  /** Incarnation of the owner. */
  readonly incarnation: string;
  readonly bills: readonly billTypes.PendingBill[];
  /** Lanes that are in the object API, whose copies can go. */
  readonly writtenLanes: readonly string[];
}

/** What a queue of copies works with. */
export interface CopyQueueOptions {
  readonly clock: ports.Clock;
  readonly incarnation: string;
  /** Answers how many peers in other zones hold the batch now. */
  readonly copyToPeers: (batch: CopyBatch) => Promise<number>;
  /** Longest wait for the peers, in milliseconds; then they count as none. */
  readonly timeoutMs: number;
}

interface QueuedBill {
  readonly pending: billTypes.PendingBill;
  readonly resolve: (copies: number) => void;
}

/**
 * Keeps one message under way; bills that come meanwhile share the next. At
 * peak load the messages so grow in place of their number.
 */
export class CopyQueue {
  private waiting: QueuedBill[] = [];
  private writtenLanes: string[] = [];
  private busy = false;

  constructor(private readonly options: CopyQueueOptions) {}

  /** Copies a bill; resolves with the number of peers that hold it. */
  copy(pending: billTypes.PendingBill): Promise<number> {
    return new Promise(resolve => {
      this.waiting.push({pending, resolve});
      if (!this.busy) {
        void this.drain();
      }
    });
  }

  /** Notes a written lane; the next message lets its copies go. */
  release(lane: string): void {
    this.writtenLanes.push(lane);
  }

  hasReleases(): boolean {
    return this.writtenLanes.length > 0;
  }

  /** Sends one batch at once. */
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
