/**
 * How long requests may wait for admission: long in a burst, short in a queue
 * that never empties, by priority and by the workspace's share.
 */
import type * as fairQueue from './fair-queue.js';
import type * as slotPool from './slot-pool.js';
import type * as standingQueue from './standing-queue.js';
import type * as workspaceQueue from './workspace-queue.js';

type Request = workspaceQueue.AdmissionRequest;
type Workspace = workspaceQueue.WorkspaceQueue;

/**
 * Share of the wait allowed that the expected wait may take. What is expected
 * errs on the long side already; the rest is for what comes in between.
 */
const WAIT_SHARE = 0.4;

/** The same for a workspace within its share, which is next. */
const ENTITLED_SHARE = 0.8;

/**
 * The same in a standing queue. Waits there vary more than they last; this
 * keeps those given up on after a wait near 1% of refusals.
 */
const STANDING_SHARE = 0.2;

/**
 * Mean service times after which a filled queue counts as standing. Waits of
 * a burst's first moments set the tail, so it is short.
 */
const STANDING_AFTER_SERVICES = 0.25;

/**
 * Wait allowed in a standing queue, in mean service times: enough to keep all
 * slots busy between two arrivals, as goodput in the burst shows.
 */
const STANDING_WAIT = 0.8;

/** The same for a workspace within its share: the queue is not its own. */
const ENTITLED_WAIT = 1.1;

/** Bounds on waits, from the state of an admission queue. */
export class WaitPolicy {
  constructor(
    private readonly slots: slotPool.SlotPool,
    private readonly fairQueue: fairQueue.FairQueue,
    private readonly standing: standingQueue.StandingQueue,
  ) {}

  /** Share of the wait allowed that the expected wait may take. */
  waitShare(request: Request, workspace: Workspace, nowMs: number): number {
    // A workspace within its share is next, whoever else waits.
    if (this.fairQueue.isWithinShare(workspace)) {
      return ENTITLED_SHARE;
    }
    return this.isOverloaded(request, nowMs) ? STANDING_SHARE : WAIT_SHARE;
  }

  /**
   * A queue that never empties adds wait and no throughput: bursts may use the
   * whole wait that a workspace allows, but a standing queue is kept short, as
   * by CoDel. Batch work may wait.
   */
  isOverloaded(request: Request, nowMs: number): boolean {
    const standingMs = this.standing.standingMs(request.priority, nowMs);
    const limitMs = STANDING_AFTER_SERVICES * this.slots.meanServiceMs;
    return request.priority !== 'batch' && standingMs > limitMs;
  }

  /** Longest wait for admission now, in milliseconds. */
  maxWaitMs(request: Request, workspace: Workspace, nowMs: number): number {
    if (!this.isOverloaded(request, nowMs)) {
      return request.maxWaitMs;
    }
    const services = this.fairQueue.isWithinShare(workspace)
      ? ENTITLED_WAIT
      : STANDING_WAIT;
    return Math.min(request.maxWaitMs, services * this.slots.meanServiceMs);
  }
}
