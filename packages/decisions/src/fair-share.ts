/**
 * Order of service over workspaces: start-time fair queueing in slot time,
 * with a bounded lead for urgent priorities, and the wait that follows from it.
 */
import type * as slotPool from './slot-pool.js';
import * as workspaceQueue from './workspace-queue.js';

type Entry = workspaceQueue.QueuedRequest;
type Priority = workspaceQueue.AdmissionPriority;
type Workspace = workspaceQueue.WorkspaceQueue;

/**
 * Lead in virtual time by priority, in mean service times. An urgent request
 * goes ahead of others by this much and no more, so that a workspace which
 * calls everything urgent cannot starve the rest.
 */
const LEAD: Readonly<Record<Priority, number>> = {
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
const CREDIT = 2;

/** Shares the slots of a pool between workspaces. */
export class FairShare {
  private virtualTime = 0;
  private readonly workspaces = new Map<string, Workspace>();

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
  forgetIfIdle(name: string, workspace: Workspace): void {
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
    const isOpen = (priority: Priority) => this.slots.isOpen(priority, nowMs);
    let best: Entry | undefined;
    let bestTag = Infinity;
    let floor = Infinity;
    for (const workspace of this.workspaces.values()) {
      const entry =
        workspace.queued > 0 ? workspace.head(nowMs, isOpen) : undefined;
      if (!entry || workspace.inFlight >= entry.request.maxConcurrent) {
        continue;
      }
      floor = Math.min(floor, workspace.virtualTime);
      const tag = this.tagOf(workspace, entry);
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

  /** Virtual time at which a workspace without waiting requests starts. */
  private startOf(workspace: Workspace): number {
    const credit = CREDIT * this.slots.meanServiceMs;
    return Math.max(workspace.virtualTime, this.virtualTime - credit);
  }

  private tagOf(workspace: Workspace, entry: Entry): number {
    const lead = LEAD[entry.request.priority] * this.slots.meanServiceMs;
    return workspace.virtualTime - lead;
  }

  /**
   * Slot time that runs before `entry`, over the rate of service: the wait
   * under fair queueing, not under first come, first served.
   */
  estimateWaitMs(entry: Entry, workspace: Workspace, nowMs: number): number {
    const {request} = entry;
    const isBelowLimit = workspace.inFlight < request.maxConcurrent;
    const hasSlot = this.slots.isOpen(request.priority, nowMs);
    const ownAhead = workspace.serviceAheadOf(entry);
    if (hasSlot && isBelowLimit && ownAhead === 0) {
      return 0;
    }
    const start = this.startOf(workspace);
    const lead = LEAD[request.priority] * this.slots.meanServiceMs;
    const tag = start + ownAhead / request.weight - lead;
    const own = ownAhead + this.slots.meanServiceMs;
    const queuedMs = this.waitBehind(own, tag, workspace, 0, nowMs);
    // Requests that come during the wait go ahead too, where their workspace
    // is behind in virtual time; without them the wait is guessed too short
    // for large workspaces, and their requests wait only to be given up on.
    const sharedMs = this.waitBehind(own, tag, workspace, queuedMs, nowMs);
    // A workspace at its own bound waits for its own work to end.
    const ownMs = isBelowLimit
      ? 0
      : (ownAhead + this.slots.meanServiceMs) / request.maxConcurrent;
    return Math.max(sharedMs, ownMs) * this.slots.stallFactor(nowMs);
  }

  private waitBehind(
    ownMs: number,
    tag: number,
    workspace: Workspace,
    horizonMs: number,
    nowMs: number,
  ): number {
    let ahead = ownMs;
    for (const other of this.workspaces.values()) {
      if (other !== workspace && (other.queued > 0 || horizonMs > 0)) {
        ahead += this.serviceBefore(other, tag, horizonMs, nowMs);
      }
    }
    return ahead / this.slots.capacity;
  }

  /** Slot time a workspace gets before its virtual time reaches `tag`. */
  private serviceBefore(
    workspace: Workspace,
    tag: number,
    horizonMs: number,
    nowMs: number,
  ): number {
    const arriving = workspace.demandAt(nowMs) * horizonMs;
    const head = workspace.head(nowMs, () => true);
    const start = this.startOf(workspace);
    const from = head ? this.tagOf(workspace, head) : start;
    const share = Math.max(0, tag - from) * workspace.weight;
    return Math.min(workspace.queuedServiceMs + arriving, share);
  }
}
