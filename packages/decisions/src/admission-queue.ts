/**
 * Admission at one entry instance: which request runs now, which waits, which
 * is refused. Weighted fair queueing over workspaces in slot time, with
 * bounded borrowing for urgent priorities.
 *
 * Made for the lunch-hour burst: several times capacity for minutes, most of
 * it from a few large workspaces. It prevents small workspaces waiting behind
 * large ones, and work that is finished only after its caller has gone.
 */
import type * as admissionOutcome from './admission-outcome.js';
import * as expiryQueue from './expiry-queue.js';
import * as fairQueue from './fair-queue.js';
import * as slotPool from './slot-pool.js';
import * as standingQueue from './standing-queue.js';
import * as waitPolicy from './wait-policy.js';
import type * as workspaceQueue from './workspace-queue.js';

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
type Workspace = workspaceQueue.WorkspaceQueue;

/** Waiting requests by default: some 10 MB of requests of 10 kB. */
export const DEFAULT_MAX_QUEUED = 1000;

/** Deviations kept free after the mean service time, as in TCP's timeout. */
const SERVICE_DEVIATIONS = 4;

/** Shortest and longest time a refused caller is told to stay away. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;

/** Admission of one entry instance. Holds state; time is an argument. */
export class AdmissionQueue {
  private readonly slots: slotPool.SlotPool;
  private readonly maxQueued: number;
  private order = 0;
  private readonly standing = new standingQueue.StandingQueue();
  private readonly fairQueue: fairQueue.FairQueue;
  private readonly waitPolicy: waitPolicy.WaitPolicy;
  private readonly waiting = new Map<string, Entry>();
  private readonly expiries = new expiryQueue.ExpiryQueue();

  constructor(private readonly options: AdmissionOptions) {
    this.slots = new slotPool.SlotPool(options.capacity);
    this.fairQueue = new fairQueue.FairQueue(this.slots);
    this.waitPolicy = new waitPolicy.WaitPolicy(
      this.slots,
      this.fairQueue,
      this.standing,
    );
    this.maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
  }

  /** Requests that run. */
  get inFlight(): number {
    return this.slots.inFlight;
  }

  /** Requests that wait. */
  get queued(): number {
    return this.standing.count;
  }

  /** Changes the number of slots; returns the requests now admitted. */
  setCapacity(capacity: number, nowMs: number): readonly Request[] {
    this.slots.capacity = capacity;
    return this.dispatch(nowMs);
  }

  /**
   * Admits a request, lets it wait, or refuses it at once.
   *
   * @throws Error when a request of this identity waits or runs already.
   */
  offer(request: Request, nowMs: number): admissionOutcome.AdmissionOutcome {
    if (this.waiting.has(request.id) || this.slots.has(request.id)) {
      throw new Error(`request ${request.id} was offered twice`);
    }
    const workspace = this.fairQueue.findWorkspace(request.workspace);
    const entry = this.createEntry(request, workspace, nowMs);
    this.slots.recordDemand(request.priority, entry.serviceMs, nowMs);
    const waitMs = this.fairQueue.estimateWaitMs(entry, workspace, nowMs);
    const reason = this.findRefusalReason(entry, workspace, waitMs, nowMs);
    if (reason) {
      this.fairQueue.removeIfIdle(request.workspace, workspace);
      const retryAfterMs = this.drawRetryAfterMs(waitMs);
      return {kind: 'refused', reason, retryAfterMs};
    }
    this.enqueue({...entry, estimatedWaitMs: waitMs}, nowMs);
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
    this.fairQueue.settle(running, nowMs - running.admittedMs);
    return this.dispatch(nowMs);
  }

  /**
   * Gives up on waiting requests whose last moment has passed. Call it at
   * `nextExpiryMs`, so that the caller gets its answer at once.
   */
  expire(nowMs: number): readonly admissionOutcome.AdmissionRefusal[] {
    const refusals: admissionOutcome.AdmissionRefusal[] = [];
    for (;;) {
      const entry = this.expiries.peek();
      if (!entry || entry.admitByMs >= nowMs) {
        return refusals;
      }
      this.dequeue(entry);
      this.fairQueue.recordWait(entry, nowMs);
      refusals.push({
        request: entry.request,
        reason: 'wait_expired',
        retryAfterMs: this.drawRetryAfterMs(this.estimateDrainMs(nowMs)),
      });
    }
  }

  /** First moment at which `expire` has work, or undefined. */
  nextExpiryMs(): number | undefined {
    const entry = this.expiries.peek();
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
    const workspace = this.fairQueue.findWorkspace(request.workspace);
    const entry = this.createEntry(request, workspace, nowMs);
    const waitMs = this.fairQueue.estimateWaitMs(entry, workspace, nowMs);
    this.fairQueue.removeIfIdle(request.workspace, workspace);
    return waitMs;
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
      nowMs + this.waitPolicy.maxWaitMs(request, workspace, nowMs),
    );
    return {
      request,
      admitByMs,
      serviceMs,
      order: this.order++,
      offeredMs: nowMs,
      estimatedWaitMs: 0,
      state: 'queued',
    };
  }

  private findRefusalReason(
    entry: Entry,
    workspace: Workspace,
    waitMs: number,
    nowMs: number,
  ): admissionOutcome.AdmissionRefusalReason | undefined {
    if (this.slots.capacity < 1) {
      return 'no_capacity';
    }
    const neededMs = waitMs * workspace.waitMargin;
    const allowedMs = entry.admitByMs - nowMs;
    const share = this.waitPolicy.waitShare(entry.request, workspace, nowMs);
    // Work that would end after its deadline takes a slot and helps no one.
    if (neededMs > share * allowedMs) {
      return this.waitPolicy.isOverloaded(entry.request, nowMs)
        ? 'overloaded'
        : 'deadline_unreachable';
    }
    if (waitMs === 0) {
      return undefined;
    }
    if (this.standing.count >= this.maxQueued) {
      return 'queue_full';
    }
    // Dynamic threshold: no workspace queues more than what is still free, so
    // that large ones leave room for those that come after them.
    const free = this.maxQueued - this.standing.count;
    const bound = Math.min(entry.request.maxQueued, free);
    return workspace.queued >= bound ? 'workspace_queue_full' : undefined;
  }

  private enqueue(entry: Entry, nowMs: number): void {
    this.fairQueue.push(entry, nowMs);
    this.waiting.set(entry.request.id, entry);
    this.expiries.push(entry);
    this.standing.add(entry.request.priority, nowMs);
  }

  private dequeue(entry: Entry): void {
    this.fairQueue.remove(entry);
    this.waiting.delete(entry.request.id);
    this.standing.remove(entry.request.priority);
    this.expiries.sweep(this.standing.count);
  }

  /** Admits waiting requests, the workspace furthest behind first. */
  private dispatch(nowMs: number): readonly Request[] {
    const admitted: Request[] = [];
    while (
      this.slots.inFlight < this.slots.capacity &&
      this.standing.count > 0
    ) {
      const entry = this.fairQueue.chooseNext(nowMs);
      if (!entry) {
        break;
      }
      this.admit(entry, nowMs);
      admitted.push(entry.request);
    }
    return admitted;
  }

  private admit(entry: Entry, nowMs: number): void {
    const {request, serviceMs} = entry;
    this.dequeue(entry);
    this.fairQueue.recordWait(entry, nowMs);
    this.fairQueue.charge(entry);
    this.slots.acquire(request, serviceMs, nowMs);
  }

  /** Time until all that waits now has been admitted. */
  private estimateDrainMs(nowMs: number): number {
    const work = this.standing.count * this.slots.meanServiceMs;
    return (
      (work / Math.max(1, this.slots.capacity)) * this.slots.stallFactor(nowMs)
    );
  }

  /** Jitter over the whole span keeps refused callers from returning as one. */
  private drawRetryAfterMs(waitMs: number): number {
    const base = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const bounded = Math.min(base, MAX_RETRY_AFTER_MS / 2);
    return Math.round(bounded * (1 + this.options.random()));
  }
}
