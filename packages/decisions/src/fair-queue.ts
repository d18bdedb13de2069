/**
 * Start-time fair queueing of slot time over workspaces, with a bounded lead
 * for urgent priorities, and estimates of the resulting waits.
 */
import * as demandMeter from './demand-meter.js';
import type * as slotPool from './slot-pool.js';
import * as workspaceQueue from './workspace-queue.js';

type Entry = workspaceQueue.QueuedRequest;
type Priority = workspaceQueue.AdmissionPriority;
type Workspace = workspaceQueue.WorkspaceQueue;

/**
 * Lead in virtual time by priority, as a multiple of the mean service time of
 * the longest kind of work, which an urgent request has to overtake. The lead
 * is bounded, so that a workspace that marks everything as urgent cannot
 * starve the others.
 */
const PRIORITY_LEAD: Readonly<Record<Priority, number>> = {
  door_check: 20,
  interactive: 4,
  batch: 0,
};

const isAhead = (
  tag: number,
  bestTag: number,
  entry: Entry,
  best: Entry | undefined,
): boolean =>
  tag < bestTag ||
  (tag === bestTag && best !== undefined && entry.order < best.order);

/** Maximum credit for time without demand, in mean service times. */
const MAX_IDLE_CREDIT = 2;

/** Position of a request in the order of service. */
interface Position {
  readonly workspace: Workspace;
  /** Virtual start time, less the lead of its priority. */
  readonly tag: number;
  /** Slot time of its own workspace's requests that run before it. */
  readonly ownMs: number;
  /** Mean service time of the longest kind of work. */
  readonly longestServiceMs: number;
  readonly nowMs: number;
}

/** Work of other workspaces that may run before a position. */
interface CompetingLoad {
  /** Slot time of requests that already wait. */
  readonly queuedMs: number;
  /** Average number of slots that future requests will occupy. */
  readonly demand: number;
  /** Maximum slot time that can be served before the position. */
  readonly shareMs: number;
}

/** Divides the slots of a pool among workspaces by weight. */
export class FairQueue {
  private virtualTime = 0;
  private readonly workspaces = new Map<string, Workspace>();
  /** Workspaces with waiting requests; only these are scanned to dispatch. */
  private readonly backlogged = new Set<Workspace>();
  /** Recent demand of all workspaces, in slots. */
  private readonly demand = new demandMeter.DemandMeter();

  constructor(private readonly slots: slotPool.SlotPool) {}

  /** Returns the state of a workspace, creating it at its first request. */
  findWorkspace(name: string): Workspace {
    const found = this.workspaces.get(name);
    if (found) {
      return found;
    }
    const created = new workspaceQueue.WorkspaceQueue(this.virtualTime);
    this.workspaces.set(name, created);
    return created;
  }

  /**
   * Drops an idle workspace that is not ahead in virtual time and has no
   * measured service times, so that state stays bounded.
   */
  removeIfIdle(name: string, workspace: Workspace): void {
    const isSettled = workspace.virtualTime <= this.virtualTime;
    if (workspace.isIdle && isSettled && !workspace.serviceTime.hasSamples) {
      this.workspaces.delete(name);
    }
  }

  /** Adds a request to its workspace's queue. */
  push(entry: Entry, nowMs: number): void {
    const workspace = this.findWorkspace(entry.request.workspace);
    if (workspace.queued === 0) {
      // Time without demand earns a little credit, which compensates for the
      // uneven demand of a small workspace. With more credit, a burst after
      // each pause would delay all others.
      workspace.virtualTime = this.startOf(workspace);
    }
    workspace.push(entry, nowMs);
    this.backlogged.add(workspace);
    this.demand.add(entry.serviceMs, nowMs);
  }

  /** Removes a waiting request from its workspace's queue. */
  remove(entry: Entry): void {
    const workspace = this.findWorkspace(entry.request.workspace);
    workspace.remove(entry);
    if (workspace.queued === 0) {
      this.backlogged.delete(workspace);
    }
  }

  /** Records how long a request waited, to correct later estimates. */
  recordWait(entry: Entry, nowMs: number): void {
    this.findWorkspace(entry.request.workspace).recordWait(entry, nowMs);
  }

  /** Charges the workspace of an admitted request its expected slot time. */
  charge(entry: Entry): void {
    const workspace = this.findWorkspace(entry.request.workspace);
    workspace.inFlight++;
    workspace.virtualTime += entry.serviceMs / entry.request.weight;
  }

  /** Corrects the charge of a finished request to the slot time it held. */
  settle(running: slotPool.RunningRequest, heldMs: number): void {
    const {request} = running;
    const workspace = this.findWorkspace(request.workspace);
    workspace.inFlight--;
    workspace.virtualTime += (heldMs - running.chargedMs) / request.weight;
    workspace.serviceTime.add(heldMs);
  }

  /** Returns the next request to run: the one with the lowest tag. */
  chooseNext(nowMs: number): Entry | undefined {
    const open = workspaceQueue.ADMISSION_PRIORITIES.filter(priority =>
      this.slots.hasFreeSlot(priority, nowMs),
    );
    const longestServiceMs = this.slots.longestServiceMs;
    let best: Entry | undefined;
    let bestTag = Infinity;
    let floor = Infinity;
    for (const workspace of this.backlogged) {
      const entry = workspace.head(nowMs, open);
      if (!entry || workspace.inFlight >= entry.request.maxConcurrent) {
        continue;
      }
      floor = Math.min(floor, workspace.virtualTime);
      const tag = this.tagOf(workspace, entry, longestServiceMs);
      if (isAhead(tag, bestTag, entry, best)) {
        best = entry;
        bestTag = tag;
      }
    }
    if (best) {
      this.virtualTime = Math.max(this.virtualTime, floor);
    }
    return best;
  }

  /** Whether the recent demand of a workspace is within its fair share. */
  isWithinShare(workspace: Workspace): boolean {
    const asked = workspace.queuedServiceMs / workspace.weight;
    const limit = this.virtualTime + this.slots.meanServiceMs;
    return workspace.virtualTime + asked <= limit;
  }

  /** Virtual time at which the next request of a workspace would start. */
  private startOf(workspace: Workspace): number {
    const credit = MAX_IDLE_CREDIT * this.slots.meanServiceMs;
    return Math.max(workspace.virtualTime, this.virtualTime - credit);
  }

  private tagOf(
    workspace: Workspace,
    entry: Entry,
    longestServiceMs: number,
  ): number {
    return (
      workspace.virtualTime -
      PRIORITY_LEAD[entry.request.priority] * longestServiceMs
    );
  }

  /**
   * Estimates the wait of `entry` under fair queueing: the slot time that runs
   * before it, divided by the number of slots.
   */
  estimateWaitMs(entry: Entry, workspace: Workspace, nowMs: number): number {
    const {request} = entry;
    const isBelowLimit = workspace.inFlight < request.maxConcurrent;
    const hasSlot = this.slots.hasFreeSlot(request.priority, nowMs);
    const ownAhead = workspace.serviceAheadOf(entry);
    if (hasSlot && isBelowLimit && ownAhead === 0) {
      return 0;
    }
    const longestServiceMs = this.slots.longestServiceMs;
    const start =
      this.startOf(workspace) -
      PRIORITY_LEAD[request.priority] * longestServiceMs;
    const position: Position = {
      workspace,
      tag: start + ownAhead / request.weight,
      ownMs: ownAhead + this.slots.meanServiceMs,
      longestServiceMs,
      nowMs,
    };
    const competing = this.listCompetingLoads(position);
    const queuedMs = this.estimateWaitBehindMs(competing, position.ownMs, 0);
    // Requests that arrive during the wait may run first too, when their
    // workspace is behind in virtual time. Without them the estimate is too
    // short for large workspaces, and their requests wait until they expire.
    const sharedMs = this.estimateWaitBehindMs(
      competing,
      position.ownMs,
      queuedMs,
    );
    // A workspace at its concurrency limit waits for its own work to end.
    const ownMs = isBelowLimit
      ? 0
      : (ownAhead + this.slots.meanServiceMs) / request.maxConcurrent;
    return Math.max(sharedMs, ownMs) * this.slots.stallFactor(nowMs);
  }

  private estimateWaitBehindMs(
    competing: readonly CompetingLoad[],
    ownMs: number,
    horizonMs: number,
  ): number {
    let ahead = ownMs;
    for (const {queuedMs, demand, shareMs} of competing) {
      ahead += Math.min(queuedMs + demand * horizonMs, shareMs);
    }
    return ahead / Math.max(1, this.slots.capacity);
  }

  /**
   * Loads that may run before a position: each waiting workspace, and the rest.
   */
  private listCompetingLoads(position: Position): readonly CompetingLoad[] {
    const {workspace, tag, nowMs, longestServiceMs} = position;
    const competing: CompetingLoad[] = [];
    let idleDemand = this.demand.read(nowMs);
    for (const other of this.backlogged) {
      const demand = other.demand.read(nowMs);
      idleDemand -= demand;
      if (other !== workspace) {
        const head = other.head(nowMs, workspaceQueue.ADMISSION_PRIORITIES);
        const from = head
          ? this.tagOf(other, head, longestServiceMs)
          : this.startOf(other);
        const shareMs = Math.max(0, tag - from) * other.weight;
        competing.push({queuedMs: other.queuedServiceMs, demand, shareMs});
      }
    }
    const idle = this.workspaces.size - this.backlogged.size;
    const start = this.virtualTime - MAX_IDLE_CREDIT * this.slots.meanServiceMs;
    competing.push({
      queuedMs: 0,
      demand: Math.max(0, idleDemand),
      shareMs: idle * Math.max(0, tag - start),
    });
    return competing;
  }
}
