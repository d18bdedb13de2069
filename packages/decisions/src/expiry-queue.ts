/** Waiting requests of all workspaces, ordered by deadline. */
import * as heap from 'heap-js';
import * as workspaceQueue from './workspace-queue.js';

type Entry = workspaceQueue.QueuedRequest;

/** Removed entries that may stay in the heap beyond the number waiting. */
const SLACK = 64;

/** Finds the waiting request that expires next. */
export class ExpiryQueue {
  private readonly entries = new heap.Heap<Entry>(
    workspaceQueue.compareByDeadline,
  );

  push(entry: Entry): void {
    this.entries.push(entry);
  }

  /** The waiting request with the earliest deadline. */
  peek(): Entry | undefined {
    for (;;) {
      const entry = this.entries.peek();
      if (entry?.state !== 'left') {
        return entry;
      }
      this.entries.pop();
    }
  }

  /**
   * Drops entries of requests that have left the queue once they outnumber the
   * waiting ones by more than `SLACK`.
   */
  sweep(waitingCount: number): void {
    if (this.entries.length <= 2 * waitingCount + SLACK) {
      return;
    }
    const waiting = this.entries.heapArray.filter(
      entry => entry.state === 'queued',
    );
    this.entries.init(waiting);
  }
}
