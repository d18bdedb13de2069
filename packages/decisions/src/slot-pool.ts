/** Slots of one entry instance: who holds them, and how fast they turn over. */
import * as movingEstimate from './moving-estimate.js';
import * as workspaceQueue from './workspace-queue.js';

type Priority = workspaceQueue.AdmissionPriority;

/** A request that holds a slot. */
export interface RunningRequest {
  readonly request: workspaceQueue.AdmissionRequest;
  readonly admittedMs: number;
  /** Slot time charged to the workspace at admission. */
  readonly chargedMs: number;
}

/**
 * Share of slots kept from less urgent work while more urgent work has been
 * seen lately. Running work is not interrupted, so without it a door check
 * waits until one of many long answers ends.
 */
const RESERVE: Readonly<Record<Priority, number>> = {
  door_check: 0,
  interactive: 1 / 12,
  batch: 1 / 4,
};

/** How long urgent work counts as seen lately; idle reserves cost goodput. */
const RESERVE_HOLD_MS = 30_000;

/** Service time assumed before the first measurement. */
const INITIAL_SERVICE_MS = 500;

/** Mean gaps between releases without one, after which service has stalled. */
const STALL_GAPS = 8;

/** Slots that requests hold while they run. */
export class SlotPool {
  /** Time that requests hold a slot, in milliseconds. */
  readonly serviceTime = new movingEstimate.MovingEstimate();
  private lastReleaseMs = 0;
  private readonly running = new Map<string, RunningRequest>();
  private readonly runningByPriority: Record<Priority, number> = {
    door_check: 0,
    interactive: 0,
    batch: 0,
  };
  private readonly lastSeenMs: Record<Priority, number> = {
    door_check: -Infinity,
    interactive: -Infinity,
    batch: -Infinity,
  };

  /** @param capacity slots in all; may fall below those taken. */
  constructor(public capacity: number) {}

  get inFlight(): number {
    return this.running.size;
  }

  /** Whether a request holds a slot. */
  has(id: string): boolean {
    return this.running.has(id);
  }

  /** Mean time that a request holds a slot, in milliseconds, at least 1. */
  get meanServiceMs(): number {
    return this.serviceTime.hasSamples
      ? Math.max(1, this.serviceTime.mean)
      : INITIAL_SERVICE_MS;
  }

  /** Notes demand of a priority, for the reserves. */
  see(priority: Priority, nowMs: number): void {
    this.lastSeenMs[priority] = nowMs;
  }

  take(
    request: workspaceQueue.AdmissionRequest,
    chargedMs: number,
    nowMs: number,
  ): void {
    if (this.running.size === 0) {
      this.lastReleaseMs = nowMs;
    }
    this.running.set(request.id, {request, chargedMs, admittedMs: nowMs});
    this.runningByPriority[request.priority]++;
  }

  /** Frees a slot; undefined when the request holds none. */
  release(id: string, nowMs: number): RunningRequest | undefined {
    const running = this.running.get(id);
    if (!running) {
      return undefined;
    }
    this.running.delete(id);
    this.runningByPriority[running.request.priority]--;
    this.lastReleaseMs = nowMs;
    this.serviceTime.add(nowMs - running.admittedMs);
    return running;
  }

  /** Whether a slot is free for a priority, given the reserves. */
  isOpen(priority: Priority, nowMs: number): boolean {
    const free = this.capacity - this.running.size;
    let urgentRunning = 0;
    let isUrgentSeen = false;
    for (const other of workspaceQueue.ADMISSION_PRIORITIES) {
      if (other === priority) {
        break;
      }
      urgentRunning += this.runningByPriority[other];
      isUrgentSeen ||= nowMs - this.lastSeenMs[other] < RESERVE_HOLD_MS;
    }
    if (!isUrgentSeen) {
      return free > 0;
    }
    const reserve = Math.ceil(RESERVE[priority] * this.capacity);
    // One slot always stays open, or small capacities would starve the rest.
    const kept = Math.min(reserve, this.capacity - 1);
    return free - Math.max(0, kept - urgentRunning) > 0;
  }

  /**
   * Above 1 when releases stay out: the mean of past service times says
   * nothing once an upstream hangs, and requests would queue for it in vain.
   */
  stallFactor(nowMs: number): number {
    const gapMs = this.meanServiceMs / Math.max(1, this.capacity);
    const quietMs = nowMs - this.lastReleaseMs;
    return Math.max(1, quietMs / (STALL_GAPS * gapMs + this.meanServiceMs));
  }
}
