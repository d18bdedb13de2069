/**
 * Slots of one entry instance: which requests hold them, for how long, and how
 * many are reserved for more urgent priorities.
 */
import * as demandMeter from './demand-meter.js';
import * as movingEstimate from './moving-estimate.js';
import * as workspaceQueue from './workspace-queue.js';

type Priority = workspaceQueue.AdmissionPriority;

/** A request that holds a slot. */
export interface RunningRequest {
  readonly request: workspaceQueue.AdmissionRequest;
  readonly admittedMs: number;
  /** Slot time charged to the workspace at admission, in milliseconds. */
  readonly chargedMs: number;
}

/** Bounds on the fraction of slots that a priority may not use. */
interface Reserve {
  readonly min: number;
  readonly max: number;
}

/**
 * Slots that less urgent priorities may not use, reserved for more urgent
 * demand. Running requests are not preempted: without a reserve a door check
 * waits until one of many long answers ends, and long answers take every slot
 * that short ones free for a moment. The slots above the maximum are never
 * reserved, so that less urgent requests are not starved.
 */
const RESERVE: Readonly<Record<Priority, Reserve>> = {
  door_check: {min: 0, max: 0},
  interactive: {min: 1 / 12, max: 1 / 4},
  batch: {min: 1 / 4, max: 3 / 4},
};

/**
 * Standard deviations of demand that are reserved on top of its mean
 * (square-root staffing, with roughly Poisson demand). More for door checks would
 * take slots from interactive requests, and slots become free often enough.
 */
const STAFFING: Readonly<Record<Priority, number>> = {
  door_check: 1,
  interactive: 1,
  batch: 0,
};

/** Window over which demand is averaged: the duration of a long answer. */
const DEMAND_WINDOW_MS = 10_000;

/** Total demand of more urgent priorities below which nothing is reserved. */
const MIN_DEMAND = 0.01;

/** Service time assumed before the first measurement. */
const INITIAL_SERVICE_MS = 500;

/** Number of mean release gaps without a release that count as a stall. */
const STALL_GAPS = 8;

/** Tracks the requests that hold slots, and reserves slots by priority. */
export class SlotPool {
  /** Time that requests hold a slot, in milliseconds. */
  readonly serviceTime = new movingEstimate.MovingEstimate();
  private readonly serviceByPriority: Record<
    Priority,
    movingEstimate.MovingEstimate
  > = {
    door_check: new movingEstimate.MovingEstimate(),
    interactive: new movingEstimate.MovingEstimate(),
    batch: new movingEstimate.MovingEstimate(),
  };
  private lastReleaseMs = 0;
  private readonly running = new Map<string, RunningRequest>();
  private readonly runningByPriority: Record<Priority, number> = {
    door_check: 0,
    interactive: 0,
    batch: 0,
  };
  private readonly demand: Readonly<Record<Priority, demandMeter.DemandMeter>> =
    {
      door_check: new demandMeter.DemandMeter(DEMAND_WINDOW_MS),
      interactive: new demandMeter.DemandMeter(DEMAND_WINDOW_MS),
      batch: new demandMeter.DemandMeter(DEMAND_WINDOW_MS),
    };

  /** @param capacity total slots; may be set below the number in use. */
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

  /**
   * Longest mean time that a request holds a slot, in milliseconds: the maximum
   * over each priority and all of them together.
   */
  get longestServiceMs(): number {
    let longest = this.meanServiceMs;
    for (const priority of workspaceQueue.ADMISSION_PRIORITIES) {
      longest = Math.max(longest, this.serviceByPriority[priority].mean);
    }
    return longest;
  }

  /** Records a request for a slot in the demand that reserves depend on. */
  recordDemand(priority: Priority, serviceMs: number, nowMs: number): void {
    this.demand[priority].add(serviceMs, nowMs);
  }

  acquire(
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

  /** Frees the slot of a request; returns undefined if it holds none. */
  release(id: string, nowMs: number): RunningRequest | undefined {
    const running = this.running.get(id);
    if (!running) {
      return undefined;
    }
    this.running.delete(id);
    this.runningByPriority[running.request.priority]--;
    this.lastReleaseMs = nowMs;
    const heldMs = nowMs - running.admittedMs;
    this.serviceTime.add(heldMs);
    this.serviceByPriority[running.request.priority].add(heldMs);
    return running;
  }

  /** Whether a slot is free for a priority, given the reserves. */
  hasFreeSlot(priority: Priority, nowMs: number): boolean {
    const free = this.capacity - this.running.size;
    let urgentRunning = 0;
    let urgentDemand = 0;
    let wanted = 0;
    for (const other of workspaceQueue.ADMISSION_PRIORITIES) {
      if (other === priority) {
        break;
      }
      urgentRunning += this.runningByPriority[other];
      const demand = this.demand[other].read(nowMs);
      urgentDemand += demand;
      wanted += demand + STAFFING[other] * Math.sqrt(demand);
    }
    if (urgentDemand < MIN_DEMAND) {
      return free > 0;
    }
    const reserved = this.reservedFrom(priority, wanted);
    return free - Math.max(0, reserved - urgentRunning) > 0;
  }

  private reservedFrom(priority: Priority, wanted: number): number {
    const {min, max} = RESERVE[priority];
    const floor = Math.ceil(min * this.capacity);
    const ceiling = Math.floor(max * this.capacity);
    // Never reserve the last slot, or less urgent requests would starve at
    // small capacities.
    const bound = Math.min(Math.max(floor, ceiling), this.capacity - 1);
    return Math.min(Math.max(floor, Math.ceil(wanted)), bound);
  }

  /**
   * Factor on expected service times; above 1 when no slot has been released
   * for too long. When an upstream hangs, past service times predict nothing,
   * and requests would queue without a chance of being served.
   */
  stallFactor(nowMs: number): number {
    const gapMs = this.meanServiceMs / Math.max(1, this.capacity);
    const sinceReleaseMs = nowMs - this.lastReleaseMs;
    return Math.max(
      1,
      sinceReleaseMs / (STALL_GAPS * gapMs + this.meanServiceMs),
    );
  }
}
