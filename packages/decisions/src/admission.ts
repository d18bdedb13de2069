/**
 * Admission at one entry instance: which request runs now, which waits, which
 * is refused. Weighted fair queueing over workspaces in slot time, with
 * bounded borrowing for urgent priorities.
 *
 * Made for the lunch-hour burst: several times capacity for minutes, most of
 * it from a few large workspaces. It prevents small workspaces waiting behind
 * large ones, and work that is finished only after its caller has gone.
 */
import * as heap from 'heap-js';
import * as slotPool from './slot-pool.js';
import * as workspaceQueue from './workspace-queue.js';

/** Why a request was not admitted; in each case it has not run. */
export type AdmissionRefusalReason =
  | 'no_capacity'
  | 'queue_full'
  | 'workspace_queue_full'
  | 'deadline_unreachable'
  | 'wait_expired';

/** What becomes of an offered request. */
export type AdmissionOutcome =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'queued'; readonly estimatedWaitMs: number}
  | {
      readonly kind: 'refused';
      readonly reason: AdmissionRefusalReason;
      /** When to come back, with jitter, in milliseconds. */
      readonly retryAfterMs: number;
    };

/** A waiting request that was given up on. */
export interface AdmissionRefusal {
  readonly request: workspaceQueue.AdmissionRequest;
  readonly reason: AdmissionRefusalReason;
  readonly retryAfterMs: number;
}

/** Settings of an admission queue. */
export interface AdmissionOptions {
  /** Requests that may run at once; changes by `setCapacity`. */
  readonly capacity: number;
  /** Requests that may wait, over all workspaces. */
  readonly maxQueued?: number;
  /** Uniform random numbers in [0, 1), for jitter. */
  readonly random: () => number;
}

type Request = workspaceQueue.AdmissionRequest;
type Entry = workspaceQueue.QueuedRequest;
type Priority = workspaceQueue.AdmissionPriority;
type Workspace = workspaceQueue.WorkspaceQueue;

/** Waiting requests by default: some 10 MB of requests of 10 kB. */
export const DEFAULT_MAX_QUEUED = 1000;

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

/** Deviations kept free after the mean service time, as in TCP's timeout. */
const SERVICE_DEVIATIONS = 4;

/** Shortest and longest time a refused caller is told to stay away. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;

const isAhead = (
  tag: number,
  bestTag: number,
  entry: Entry,
  best: Entry | undefined,
): boolean =>
  tag < bestTag ||
  (tag === bestTag && best !== undefined && entry.order < best.order);

/** Admission of one entry instance. Holds state; time is an argument. */
export class AdmissionQueue {
  private readonly slots: slotPool.SlotPool;
  private readonly maxQueued: number;
  private virtualTime = 0;
  private order = 0;
  private queuedCount = 0;
  private readonly workspaces = new Map<string, Workspace>();
  private readonly waiting = new Map<string, Entry>();
  private readonly expiries = new heap.Heap<Entry>(
    workspaceQueue.compareByDeadline,
  );

  constructor(private readonly options: AdmissionOptions) {
    this.slots = new slotPool.SlotPool(options.capacity);
    this.maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
  }

  /** Requests that run. */
  get inFlight(): number {
    return this.slots.inFlight;
  }

  /** Requests that wait. */
  get queued(): number {
    return this.queuedCount;
  }

  /** Changes the number of slots; returns the requests now admitted. */
  setCapacity(capacity: number, nowMs: number): readonly Request[] {
    this.slots.capacity = capacity;
    return this.dispatch(nowMs);
  }

  /** Admits a request, lets it wait, or refuses it at once. */
  offer(request: Request, nowMs: number): AdmissionOutcome {
    this.slots.see(request.priority, nowMs);
    const workspace = this.findWorkspace(request.workspace);
    const entry = this.createEntry(request, workspace, nowMs);
    const waitMs = this.estimateEntryWait(entry, workspace, nowMs);
    const reason = this.findRefusal(entry, workspace, waitMs, nowMs);
    if (reason) {
      this.forgetIfIdle(request.workspace, workspace);
      const retryAfterMs = this.drawRetryAfter(waitMs);
      return {kind: 'refused', reason, retryAfterMs};
    }
    this.enqueue(entry, workspace);
    const admitted = this.dispatch(nowMs);
    return admitted.includes(request)
      ? {kind: 'admitted'}
      : {kind: 'queued', estimatedWaitMs: waitMs};
  }

  /** Frees the slot of a request; returns the requests now admitted. */
  release(id: string, nowMs: number): readonly Request[] {
    const running = this.slots.release(id, nowMs);
    if (!running) {
      return [];
    }
    this.settle(running, nowMs - running.admittedMs);
    return this.dispatch(nowMs);
  }

  /**
   * Gives up on waiting requests whose last moment has passed. Call it at
   * `nextExpiryMs`, so that the caller gets its answer at once.
   */
  expire(nowMs: number): readonly AdmissionRefusal[] {
    const refusals: AdmissionRefusal[] = [];
    for (;;) {
      const entry = this.peekExpiry();
      if (!entry || entry.admitByMs >= nowMs) {
        return refusals;
      }
      this.dequeue(entry);
      refusals.push({
        request: entry.request,
        reason: 'wait_expired',
        retryAfterMs: this.drawRetryAfter(this.estimateDrainMs(nowMs)),
      });
    }
  }

  /** First moment at which `expire` has work, or undefined. */
  nextExpiryMs(): number | undefined {
    const entry = this.peekExpiry();
    // `expire` gives up strictly after the last moment.
    return entry === undefined ? undefined : entry.admitByMs + 1;
  }

  /** Forgets a request whose caller left; returns the ones now admitted. */
  cancel(id: string, nowMs: number): readonly Request[] {
    const entry = this.waiting.get(id);
    if (!entry) {
      return this.release(id, nowMs);
    }
    this.dequeue(entry);
    return [];
  }

  /** Wait that a request offered now would have, in milliseconds. */
  estimateWaitMs(request: Request, nowMs: number): number {
    const workspace = this.findWorkspace(request.workspace);
    const entry = this.createEntry(request, workspace, nowMs);
    const waitMs = this.estimateEntryWait(entry, workspace, nowMs);
    this.forgetIfIdle(request.workspace, workspace);
    return waitMs;
  }

  private findWorkspace(name: string): Workspace {
    const found = this.workspaces.get(name);
    if (found) {
      return found;
    }
    const created = new workspaceQueue.WorkspaceQueue(this.virtualTime);
    this.workspaces.set(name, created);
    return created;
  }

  /** Drops a workspace that owes nothing, so that state stays bounded. */
  private forgetIfIdle(name: string, workspace: Workspace): void {
    const isSettled = workspace.virtualTime <= this.virtualTime;
    if (workspace.isIdle && isSettled && !workspace.serviceTime.hasSamples) {
      this.workspaces.delete(name);
    }
  }

  private createEntry(
    request: Request,
    workspace: Workspace,
    nowMs: number,
  ): Entry {
    const estimate = workspace.serviceTime.hasSamples
      ? workspace.serviceTime
      : this.slots.serviceTime;
    const measured = estimate.hasSamples
      ? estimate.mean
      : this.slots.meanServiceMs;
    const serviceMs = request.expectedServiceMs ?? measured;
    const slackMs = request.deadlineMs - nowMs;
    const fullMargin = serviceMs + SERVICE_DEVIATIONS * estimate.deviation;
    // Where deadlines are tight, half of the time is left for waiting.
    const marginMs = Math.min(fullMargin, Math.max(serviceMs, slackMs / 2));
    const admitByMs = Math.min(
      request.deadlineMs - marginMs,
      nowMs + request.maxWaitMs,
    );
    return {
      request,
      admitByMs,
      serviceMs,
      order: this.order++,
      state: 'queued',
    };
  }

  private findRefusal(
    entry: Entry,
    workspace: Workspace,
    waitMs: number,
    nowMs: number,
  ): AdmissionRefusalReason | undefined {
    if (this.slots.capacity < 1) {
      return 'no_capacity';
    }
    // Work that would end after its deadline takes a slot and helps no one.
    if (nowMs + waitMs > entry.admitByMs) {
      return 'deadline_unreachable';
    }
    if (waitMs === 0) {
      return undefined;
    }
    if (this.queuedCount >= this.maxQueued) {
      return 'queue_full';
    }
    // Dynamic threshold: no workspace queues more than what is still free, so
    // that large ones leave room for those that come after them.
    const free = this.maxQueued - this.queuedCount;
    const bound = Math.min(entry.request.maxQueued, free);
    return workspace.queued >= bound ? 'workspace_queue_full' : undefined;
  }

  private enqueue(entry: Entry, workspace: Workspace): void {
    if (workspace.isIdle) {
      // Time spent idle earns no credit, or a burst would follow each pause.
      workspace.virtualTime = Math.max(workspace.virtualTime, this.virtualTime);
    }
    workspace.push(entry);
    this.waiting.set(entry.request.id, entry);
    this.expiries.push(entry);
    this.queuedCount++;
  }

  private dequeue(entry: Entry): void {
    this.workspaces.get(entry.request.workspace)?.leave(entry);
    this.waiting.delete(entry.request.id);
    this.queuedCount--;
    if (this.expiries.length > 2 * this.queuedCount + 64) {
      const waiting = this.expiries.heapArray.filter(
        other => other.state === 'queued',
      );
      this.expiries.init(waiting);
    }
  }

  private peekExpiry(): Entry | undefined {
    for (;;) {
      const entry = this.expiries.peek();
      if (entry?.state !== 'left') {
        return entry;
      }
      this.expiries.pop();
    }
  }

  /** Admits waiting requests, the workspace furthest behind first. */
  private dispatch(nowMs: number): readonly Request[] {
    const admitted: Request[] = [];
    while (this.slots.inFlight < this.slots.capacity && this.queuedCount > 0) {
      const entry = this.chooseNext(nowMs);
      if (!entry) {
        break;
      }
      this.admit(entry, nowMs);
      admitted.push(entry.request);
    }
    return admitted;
  }

  private chooseNext(nowMs: number): Entry | undefined {
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

  private tagOf(workspace: Workspace, entry: Entry): number {
    const lead = LEAD[entry.request.priority] * this.slots.meanServiceMs;
    return workspace.virtualTime - lead;
  }

  private admit(entry: Entry, nowMs: number): void {
    const {request, serviceMs} = entry;
    this.dequeue(entry);
    const workspace = this.findWorkspace(request.workspace);
    workspace.inFlight++;
    workspace.virtualTime += serviceMs / request.weight;
    this.slots.take(request, serviceMs, nowMs);
  }

  /** Charges a workspace for the slot time that a request really took. */
  private settle(running: slotPool.RunningRequest, heldMs: number): void {
    const {request} = running;
    const workspace = this.findWorkspace(request.workspace);
    workspace.inFlight--;
    workspace.virtualTime += (heldMs - running.chargedMs) / request.weight;
    workspace.serviceTime.add(heldMs);
  }

  /**
   * Slot time that runs before `entry`, over the rate of service: the wait
   * under fair queueing, not under first come, first served.
   */
  private estimateEntryWait(
    entry: Entry,
    workspace: Workspace,
    nowMs: number,
  ): number {
    const {request} = entry;
    const isBelowLimit = workspace.inFlight < request.maxConcurrent;
    const hasSlot = this.slots.isOpen(request.priority, nowMs);
    const ownAhead = workspace.serviceAheadOf(entry);
    if (hasSlot && isBelowLimit && ownAhead === 0) {
      return 0;
    }
    const start = Math.max(workspace.virtualTime, this.virtualTime);
    const lead = LEAD[request.priority] * this.slots.meanServiceMs;
    const tag = start + ownAhead / request.weight - lead;
    let ahead = ownAhead + this.slots.meanServiceMs;
    for (const other of this.workspaces.values()) {
      if (other !== workspace && other.queued > 0) {
        ahead += this.serviceBefore(other, tag, nowMs);
      }
    }
    return (ahead / this.slots.capacity) * this.slots.stallFactor(nowMs);
  }

  /** Slot time a workspace gets before its virtual time reaches `tag`. */
  private serviceBefore(
    workspace: Workspace,
    tag: number,
    nowMs: number,
  ): number {
    const head = workspace.head(nowMs, () => true);
    if (!head) {
      return 0;
    }
    const behind = tag - this.tagOf(workspace, head);
    const share = Math.max(0, behind) * head.request.weight;
    return Math.min(workspace.queuedServiceMs, share);
  }

  /** Time until all that waits now has been admitted. */
  private estimateDrainMs(nowMs: number): number {
    const work = this.queuedCount * this.slots.meanServiceMs;
    return (
      (work / Math.max(1, this.slots.capacity)) * this.slots.stallFactor(nowMs)
    );
  }

  /** Jitter over the whole span keeps refused callers from returning as one. */
  private drawRetryAfter(waitMs: number): number {
    const base = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const bounded = Math.min(base, MAX_RETRY_AFTER_MS / 2);
    return Math.round(bounded * (1 + this.options.random()));
  }
}
