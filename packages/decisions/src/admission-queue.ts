/**
 * Decides at one entry instance which requests run, wait or are refused, by
 * weighted fair queueing of slot time over workspaces, with a bounded
 * advantage for urgent priorities.
 *
 * Load: bursts of several times the capacity that last for minutes, most of it
 * from a few large workspaces. Harm prevented: small workspaces wait behind
 * large ones, and slots run work whose caller has already given up.
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
  /** Initial number of slots: requests that may run at once. */
  readonly capacity: number;
  /** Requests of all workspaces that may wait. */
  readonly maxQueued?: number;
  /** Uniform random numbers in [0, 1), for jitter. */
  readonly random: () => number;
}

type Request = workspaceQueue.AdmissionRequest;
type Entry = workspaceQueue.QueuedRequest;
type Workspace = workspaceQueue.WorkspaceQueue;

/** Default limit on waiting requests: about 10 MB at 10 kB a request. */
export const DEFAULT_MAX_QUEUED = 1000;

/**
 * Deviations of the service time added to its mean to get the time reserved
 * before a deadline, as in TCP's retransmission timeout.
 */
const SERVICE_DEVIATIONS = 4;

/** Bounds on the retry delay given with a refusal. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 30_000;

/** Admission state of one entry instance. Time is an argument. */
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

  /** Number of running requests. */
  get inFlight(): number {
    return this.slots.inFlight;
  }

  /** Number of waiting requests. */
  get queued(): number {
    return this.standing.count;
  }

  /** Changes the number of slots; returns the requests now admitted. */
  setCapacity(capacity: number, nowMs: number): readonly Request[] {
    this.slots.capacity = capacity;
    return this.dispatch(nowMs);
  }

  /**
   * Admits, queues or refuses a request.
   *
   * @throws Error when a request with this id is already waiting or running.
   */
  offer(request: Request, nowMs: number): admissionOutcome.AdmissionOutcome {
    if (this.waiting.has(request.id) || this.slots.has(request.id)) {
      throw new Error(
        `request ${request.id} is already waiting or running; offer each id once`,
      );
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
   * Removes and returns the waiting requests that were not admitted in time.
   * Call it at `nextExpiryMs`, so that callers get their answers without delay.
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

  /** Earliest time at which `expire` will return a request, if any waits. */
  nextExpiryMs(): number | undefined {
    const entry = this.expiries.peek();
    // A request may still be admitted at `admitByMs` itself.
    return entry === undefined ? undefined : entry.admitByMs + 1;
  }

  /** Removes a request whose caller left; returns the requests now admitted. */
  cancel(id: string, nowMs: number): readonly Request[] {
    const entry = this.waiting.get(id);
    if (!entry) {
      return this.release(id, nowMs);
    }
    this.dequeue(entry);
    return [];
  }

  /** Estimated wait of a request if it were offered now, in milliseconds. */
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
    // With a tight deadline, half of the remaining time is left for waiting,
    // but never less than the service time is reserved.
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
    const fraction = this.waitPolicy.waitFraction(
      entry.request,
      workspace,
      nowMs,
    );
    // Work that ends after its deadline uses a slot for nothing.
    if (neededMs > fraction * allowedMs) {
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
    // Dynamic threshold: a workspace may queue at most as many requests as
    // there are free places, so that large ones leave room for others.
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

  /** Admits waiting requests while slots are free, in fair order. */
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

  /** Estimated time until all requests waiting now have been admitted. */
  private estimateDrainMs(nowMs: number): number {
    const work = this.standing.count * this.slots.meanServiceMs;
    return (
      (work / Math.max(1, this.slots.capacity)) * this.slots.stallFactor(nowMs)
    );
  }

  /**
   * Jitter of up to the delay itself keeps refused callers from retrying all
   * at the same time.
   */
  private drawRetryAfterMs(waitMs: number): number {
    const base = Math.max(MIN_RETRY_AFTER_MS, waitMs);
    const bounded = Math.min(base, MAX_RETRY_AFTER_MS / 2);
    return Math.round(bounded * (1 + this.options.random()));
  }
}
