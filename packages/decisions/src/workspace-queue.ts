/**
 * Waiting requests of one workspace at one entry instance, its virtual time,
 * and the accuracy of its recent wait estimates.
 */
import * as heap from 'heap-js';
import * as demandMeter from './demand-meter.js';
import * as movingEstimate from './moving-estimate.js';

/**
 * How urgent a request is; the values are those of the environment document.
 */
export type AdmissionPriority = 'door_check' | 'interactive' | 'batch';

/** All priorities, most urgent first. */
export const ADMISSION_PRIORITIES: readonly AdmissionPriority[] = [
  'door_check',
  'interactive',
  'batch',
];

/** A request for admission. Times are in milliseconds. */
export interface AdmissionRequest {
  /** Unique among waiting and running requests. */
  readonly id: string;
  readonly workspace: string;
  readonly priority: AdmissionPriority;
  /** Share of capacity relative to other workspaces, above 0. */
  readonly weight: number;
  /** Time at which the complete answer is due, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  /** Maximum wait for admission. */
  readonly maxWaitMs: number;
  /** Requests of the workspace that may run at once on this instance. */
  readonly maxConcurrent: number;
  /** Requests of the workspace that may wait on this instance. */
  readonly maxQueued: number;
  /** Time for which the request will hold a slot, where it is known. */
  readonly expectedServiceMs?: number;
}

/** A waiting request with its estimates. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Latest admission that meets both the deadline and the maximum wait. */
  readonly admitByMs: number;
  /** Expected slot time. */
  readonly serviceMs: number;
  readonly offeredMs: number;
  /** Wait estimated when it was offered; 0 for none. */
  readonly estimatedWaitMs: number;
  /** Increases with each offer; breaks ties. */
  readonly order: number;
  state: 'queued' | 'left';
}

/** Orders the requests of one workspace by the earliest deadline first. */
export const compareByDeadline = (a: QueuedRequest, b: QueuedRequest): number =>
  a.admitByMs - b.admitByMs || a.order - b.order;

/** Deviations of the wait error added to its mean, and the largest margin. */
const MARGIN_DEVIATIONS = 2;
const MAX_MARGIN = 3;

type Queues = Readonly<Record<AdmissionPriority, heap.Heap<QueuedRequest>>>;

const createHeap = () => new heap.Heap<QueuedRequest>(compareByDeadline);

/** State of one workspace at one entry instance. */
export class WorkspaceQueue {
  /** Slot time used so far, divided by the weight (slot-milliseconds). */
  virtualTime: number;
  /** Weight of the latest request. */
  weight = 1;
  inFlight = 0;
  queued = 0;
  /** Expected slot time of the waiting requests. */
  queuedServiceMs = 0;
  /** Recent demand, in slots. */
  readonly demand = new demandMeter.DemandMeter();
  /** Time for which requests of this workspace hold a slot. */
  readonly serviceTime = new movingEstimate.MovingEstimate();
  /** Ratio of measured to estimated waits. */
  private readonly waitError = new movingEstimate.MovingEstimate();
  private readonly queues: Queues = {
    door_check: createHeap(),
    interactive: createHeap(),
    batch: createHeap(),
  };

  constructor(virtualTime: number) {
    this.virtualTime = virtualTime;
  }

  get isIdle(): boolean {
    return this.inFlight === 0 && this.queued === 0;
  }

  push(entry: QueuedRequest, nowMs: number): void {
    this.demand.add(entry.serviceMs, nowMs);
    this.weight = entry.request.weight;
    this.queues[entry.request.priority].push(entry);
    this.queued++;
    this.queuedServiceMs += entry.serviceMs;
  }

  /** Records the wait of a request relative to its estimate. */
  recordWait(entry: QueuedRequest, nowMs: number): void {
    if (entry.estimatedWaitMs > 0) {
      this.waitError.add((nowMs - entry.offeredMs) / entry.estimatedWaitMs);
    }
  }

  /**
   * Factor by which estimated waits are multiplied before they are compared
   * with a deadline. A request that expires after waiting has lost that time,
   * one that is refused at once has not, so estimates are made pessimistic by
   * their recent error.
   */
  get waitMargin(): number {
    const {mean, deviation} = this.waitError;
    const margin = mean + MARGIN_DEVIATIONS * deviation;
    return Math.min(MAX_MARGIN, Math.max(1, margin));
  }

  /** Removes a waiting request; its heap entry is dropped by a later sweep. */
  remove(entry: QueuedRequest): void {
    entry.state = 'left';
    this.queued--;
    this.queuedServiceMs -= entry.serviceMs;
    this.sweep(this.queues[entry.request.priority]);
  }

  /**
   * Returns the next request to run, if any. Skips expired requests.
   *
   * @param open priorities with a free slot, most urgent first.
   */
  head(
    nowMs: number,
    open: readonly AdmissionPriority[],
  ): QueuedRequest | undefined {
    for (const priority of open) {
      const found = this.first(this.queues[priority], nowMs);
      if (found) {
        return found;
      }
    }
    return undefined;
  }

  /** Expected slot time of own requests that would run before `entry`. */
  serviceAheadOf(entry: QueuedRequest): number {
    let ahead = 0;
    for (const priority of ADMISSION_PRIORITIES) {
      const isOwn = priority === entry.request.priority;
      for (const other of this.queues[priority].heapArray) {
        const isAhead = !isOwn || compareByDeadline(other, entry) < 0;
        ahead += isAhead && other.state === 'queued' ? other.serviceMs : 0;
      }
      if (isOwn) {
        break;
      }
    }
    return ahead;
  }

  private first(
    queue: heap.Heap<QueuedRequest>,
    nowMs: number,
  ): QueuedRequest | undefined {
    for (;;) {
      const top = queue.peek();
      if (!top || (top.state === 'queued' && top.admitByMs >= nowMs)) {
        return top;
      }
      // An expired request is refused through the expiry queue, so its entry
      // here isn't needed any more.
      queue.pop();
    }
  }

  /**
   * Bounds the removed entries that remain behind a request that still waits.
   */
  private sweep(queue: heap.Heap<QueuedRequest>): void {
    if (queue.length > 2 * this.queued + 16) {
      queue.init(queue.heapArray.filter(entry => entry.state === 'queued'));
    }
  }
}
