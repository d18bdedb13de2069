/** Waiting requests of all workspaces, by their last moment. */
import * as heap from 'heap-js';
import * as workspaceQueue from './workspace-queue.js';

type Entry = workspaceQueue.QueuedRequest;

/** Entries that left and may lie about beside as many that wait. */
const SLACK = 64;

/** Finds the next request to give up on. */
export class ExpiryQueue {
  private readonly entries = new heap.Heap<Entry>(
    workspaceQueue.compareByDeadline,
  );

  push(entry: Entry): void {
    this.entries.push(entry);
  }

  /** The waiting request whose last moment comes first. */
  peek(): Entry | undefined {
    for (;;) {
      const entry = this.entries.peek();
      if (entry?.state !== 'left') {
        return entry;
      }
      this.entries.pop();
    }
  }

  /** Drops entries that left, so that they never outnumber those waiting. */
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
