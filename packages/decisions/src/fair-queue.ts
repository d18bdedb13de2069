/**
 * Order of service over workspaces: start-time fair queueing in slot time,
 * with a bounded lead for urgent priorities, and the wait that follows from it.
 */
import * as demandMeter from './demand-meter.js';
import type * as slotPool from './slot-pool.js';
import * as workspaceQueue from './workspace-queue.js';

type Entry = workspaceQueue.QueuedRequest;
type Priority = workspaceQueue.AdmissionPriority;
type Workspace = workspaceQueue.WorkspaceQueue;

/**
 * Lead in virtual time by priority, in mean services of the longest kind of
 * work, as that is what has to be overtaken. An urgent request goes ahead of
 * others by this much and no more, so that a workspace which calls everything
 * urgent cannot starve the rest.
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

/** Most credit for time without demand, in mean service times. */
const MAX_IDLE_CREDIT = 2;

/** Where a request would stand in the order of service. */
interface Position {
  readonly workspace: Workspace;
  readonly tag: number;
  /** Slot time of its own workspace that goes before it. */
  readonly ownMs: number;
  /** Mean service of the longest kind of work. */
  readonly longestServiceMs: number;
  readonly nowMs: number;
}

/** What may go before a position. */
interface CompetingLoad {
  /** Slot time that waits already. */
  readonly queuedMs: number;
  /** Slots that requests to come keep busy. */
  readonly demand: number;
  /** Slot time it gets at most before the position's turn. */
  readonly shareMs: number;
}

/** Shares the slots of a pool between workspaces. */
export class FairQueue {
  private virtualTime = 0;
  private readonly workspaces = new Map<string, Workspace>();
  /** Workspaces with waiting requests; decisions look at no others. */
  private readonly backlogged = new Set<Workspace>();
  /** Slots that requests of all workspaces lately keep busy. */
  private readonly demand = new demandMeter.DemandMeter();

  constructor(private readonly slots: slotPool.SlotPool) {}

  /** State of a workspace, created at its first request. */
  findWorkspace(name: string): Workspace {
    const found = this.workspaces.get(name);
    if (found) {
      return found;
    }
    const created = new workspaceQueue.WorkspaceQueue(this.virtualTime);
    this.workspaces.set(name, created);
    return created;
  }

  /** Drops a workspace that owes nothing, so that state stays bounded. */
  removeIfIdle(name: string, workspace: Workspace): void {
    const isSettled = workspace.virtualTime <= this.virtualTime;
    if (workspace.isIdle && isSettled && !workspace.serviceTime.hasSamples) {
      this.workspaces.delete(name);
    }
  }

  /** Puts a request into its workspace's queue. */
  push(entry: Entry, nowMs: number): void {
    const workspace = this.findWorkspace(entry.request.workspace);
    if (workspace.queued === 0) {
      // Time spent without demand earns a little credit, which evens out a
      // small workspace's uneven demand; more of it would let a burst after
      // each pause hold up everyone else.
      workspace.virtualTime = this.startOf(workspace);
    }
    workspace.push(entry, nowMs);
    this.backlogged.add(workspace);
    this.demand.add(entry.serviceMs, nowMs);
  }

  /** Takes a waiting request out of its workspace's queue. */
  remove(entry: Entry): void {
    const workspace = this.findWorkspace(entry.request.workspace);
    workspace.remove(entry);
    if (workspace.queued === 0) {
      this.backlogged.delete(workspace);
    }
  }

  /** Notes how long a request waited, to judge later expectations. */
  recordWait(entry: Entry, nowMs: number): void {
    this.findWorkspace(entry.request.workspace).recordWait(entry, nowMs);
  }

  /** Charges the workspace of an admitted request for its expected time. */
  charge(entry: Entry): void {
    const workspace = this.findWorkspace(entry.request.workspace);
    workspace.inFlight++;
    workspace.virtualTime += entry.serviceMs / entry.request.weight;
  }

  /** Charges a workspace for the slot time that a request really took. */
  settle(running: slotPool.RunningRequest, heldMs: number): void {
    const {request} = running;
    const workspace = this.findWorkspace(request.workspace);
    workspace.inFlight--;
    workspace.virtualTime += (heldMs - running.chargedMs) / request.weight;
    workspace.serviceTime.add(heldMs);
  }

  /** The request to run next: that of the workspace furthest behind. */
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

  /** Whether a workspace asks for no more than its share of late. */
  isWithinShare(workspace: Workspace): boolean {
    const asked = workspace.queuedServiceMs / workspace.weight;
    const limit = this.virtualTime + this.slots.meanServiceMs;
    return workspace.virtualTime + asked <= limit;
  }

  /** Virtual time at which a workspace without waiting requests starts. */
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
   * Slot time that runs before `entry`, over the rate of service: the wait
   * under fair queueing, not under first come, first served.
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
    // Requests that come during the wait go ahead too, where their workspace
    // is behind in virtual time; without them the wait is guessed too short
    // for large workspaces, and their requests wait only to be given up on.
    const sharedMs = this.estimateWaitBehindMs(
      competing,
      position.ownMs,
      queuedMs,
    );
    // A workspace at its own bound waits for its own work to end.
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

  /** All that may go before a position: waiting workspaces, and the rest. */
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
