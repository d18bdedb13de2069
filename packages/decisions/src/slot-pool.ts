/** Slots of one entry instance: who holds them, and how fast they turn over. */
import * as demandMeter from './demand-meter.js';
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

/** Least and largest share of slots kept from a priority. */
interface Reserve {
  readonly min: number;
  readonly max: number;
}

/**
 * Slots kept from less urgent work for the demand of more urgent work. Running
 * work is not interrupted: without a reserve a door check waits until one of
 * many long answers ends, and long answers take each slot that short ones
 * leave free for a moment. What is left over is never taken, so that less
 * urgent work is not starved.
 */
const RESERVE: Readonly<Record<Priority, Reserve>> = {
  door_check: {min: 0, max: 0},
  interactive: {min: 1 / 12, max: 1 / 4},
  batch: {min: 1 / 4, max: 3 / 4},
};

/**
 * Deviations of demand that slots are kept for (square-root staffing, demand
 * being about Poisson). With 2.3 for door checks, who then wait in 1 of 100
 * cases, interactive work lost a tenth of its answers and door checks gained
 * nothing, as slots come free often enough.
 */
const STAFFING: Readonly<Record<Priority, number>> = {
  door_check: 1,
  interactive: 1,
  batch: 0,
};

/** Time over which demand is averaged: that of a long answer. */
const DEMAND_WINDOW_MS = 10_000;

/** Demand in slots below which a priority counts as unused. */
const MIN_DEMAND = 0.01;

/** Service time assumed before the first measurement. */
const INITIAL_SERVICE_MS = 500;

/** Mean gaps between releases without one, after which service has stalled. */
const STALL_GAPS = 8;

/** Slots that requests hold while they run. */
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

  /** Longest mean service of what may run: that of some priority, or of all. */
  get longestServiceMs(): number {
    let longest = this.meanServiceMs;
    for (const priority of workspaceQueue.ADMISSION_PRIORITIES) {
      longest = Math.max(longest, this.serviceByPriority[priority].mean);
    }
    return longest;
  }

  /** Notes a request that asks for a slot, for the reserves. */
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

  /** Frees a slot; undefined when the request holds none. */
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
    // One slot always stays open, or small capacities would starve the rest.
    const bound = Math.min(Math.max(floor, ceiling), this.capacity - 1);
    return Math.min(Math.max(floor, Math.ceil(wanted)), bound);
  }

  /**
   * Above 1 when releases stay out: the mean of past service times says
   * nothing once an upstream hangs, and requests would queue for it in vain.
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
