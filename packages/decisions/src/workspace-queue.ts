/** Waiting requests of one workspace, and its place in virtual time. */
import * as heap from 'heap-js';
import * as demandMeter from './demand-meter.js';
import * as movingEstimate from './moving-estimate.js';

/** How urgent a request is; the same words as in the environment document. */
export type AdmissionPriority = 'door_check' | 'interactive' | 'batch';

/** All priorities, most urgent first. */
export const ADMISSION_PRIORITIES: readonly AdmissionPriority[] = [
  'door_check',
  'interactive',
  'batch',
];

/** A request that asks to run. Times are in milliseconds. */
export interface AdmissionRequest {
  /** Unique among requests that wait or run. */
  readonly id: string;
  readonly workspace: string;
  readonly priority: AdmissionPriority;
  /** Share of capacity relative to other workspaces, above 0. */
  readonly weight: number;
  /** When the whole answer is due, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  /** Longest wait for admission. */
  readonly maxWaitMs: number;
  /** Requests of the workspace that may run here at once. */
  readonly maxConcurrent: number;
  /** Requests of the workspace that may wait here. */
  readonly maxQueued: number;
  /** Time the request will hold a slot, when the caller can tell. */
  readonly expectedServiceMs?: number;
}

/** A request that waits. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  /** Last moment at which admission can still meet the deadline. */
  readonly admitByMs: number;
  /** Slot time it is expected to take. */
  readonly serviceMs: number;
  readonly offeredMs: number;
  /** Wait that was expected when it was offered; 0 for none. */
  readonly estimatedWaitMs: number;
  /** Grows with each offer; breaks ties. */
  readonly order: number;
  state: 'queued' | 'left';
}

/** Earliest deadline first: of one workspace, the tightest goes first. */
export const compareByDeadline = (a: QueuedRequest, b: QueuedRequest): number =>
  a.admitByMs - b.admitByMs || a.order - b.order;

/** Deviations of the waits' error kept free, and the bounds of the margin. */
const MARGIN_DEVIATIONS = 2;
const MAX_MARGIN = 3;

type Queues = Readonly<Record<AdmissionPriority, heap.Heap<QueuedRequest>>>;

const createHeap = () => new heap.Heap<QueuedRequest>(compareByDeadline);

/** State of one workspace at one entry instance. */
export class WorkspaceQueue {
  /** Slot time used so far, divided by the weight (slot-milliseconds). */
  virtualTime: number;
  /** Weight of the last request taken in. */
  weight = 1;
  inFlight = 0;
  queued = 0;
  /** Slot time that the waiting requests are expected to take. */
  queuedServiceMs = 0;
  /** Slots that the requests taken in lately keep busy. */
  readonly demand = new demandMeter.DemandMeter();
  /** Time that this workspace's requests hold a slot. */
  readonly serviceTime = new movingEstimate.MovingEstimate();
  /** Measured over expected waits. */
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

  /** Notes how long a request waited, against what was expected. */
  recordWait(entry: QueuedRequest, nowMs: number): void {
    if (entry.estimatedWaitMs > 0) {
      this.waitError.add((nowMs - entry.offeredMs) / entry.estimatedWaitMs);
    }
  }

  /**
   * Factor on expected waits when they are held against a deadline. A request
   * that waits and is given up on lost its time; one refused at once did not.
   * So the expectation errs on the long side, by as much as it erred lately.
   */
  get waitMargin(): number {
    const {mean, deviation} = this.waitError;
    const margin = mean + MARGIN_DEVIATIONS * deviation;
    return Math.min(MAX_MARGIN, Math.max(1, margin));
  }

  /** Takes a waiting request out; its place in the heap is swept later. */
  remove(entry: QueuedRequest): void {
    entry.state = 'left';
    this.queued--;
    this.queuedServiceMs -= entry.serviceMs;
    this.sweep(this.queues[entry.request.priority]);
  }

  /**
   * The request to run next, or undefined; overdue ones are passed over.
   *
   * @param open priorities that have a free slot, most urgent first.
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

  /** Slot time of this workspace's requests that would run before `entry`. */
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
      // An overdue request is found by its expiry, not by its place here.
      queue.pop();
    }
  }

  /** Keeps requests that left from piling up behind one that stays. */
  private sweep(queue: heap.Heap<QueuedRequest>): void {
    if (queue.length > 2 * this.queued + 16) {
      queue.init(queue.heapArray.filter(entry => entry.state === 'queued'));
    }
  }
}
