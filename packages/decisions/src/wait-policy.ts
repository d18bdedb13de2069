/**
 * Decides how long requests may wait for admission, by priority and by the
 * fair share of the workspace.
 *
 * Load: short bursts, and overload that lasts. Harm prevented: a queue that
 * never empties, which adds wait without adding throughput.
 */
import type * as fairQueue from './fair-queue.js';
import type * as slotPool from './slot-pool.js';
import type * as standingQueue from './standing-queue.js';
import type * as workspaceQueue from './workspace-queue.js';

type Request = workspaceQueue.AdmissionRequest;
type Workspace = workspaceQueue.WorkspaceQueue;

/**
 * Fraction of the allowed wait that the estimated wait may take. The estimate
 * is already pessimistic; the rest is for requests that arrive meanwhile.
 */
const WAIT_FRACTION = 0.4;

/** The same for a workspace within its fair share, which is served next. */
const ENTITLED_WAIT_FRACTION = 0.8;

/**
 * The same in a standing queue, where waits vary by more than their mean. This
 * value keeps refusals after a wait near 1% of all refusals.
 */
const STANDING_WAIT_FRACTION = 0.2;

/**
 * Mean service times after which a non-empty queue counts as standing. It is
 * short because waits at the start of a burst determine the tail latency.
 */
const STANDING_AFTER_SERVICES = 0.25;

/**
 * Maximum wait in a standing queue, in mean service times: enough to keep all
 * slots busy between two arrivals, as goodput in a burst shows.
 */
const STANDING_WAIT_SERVICES = 0.8;

/**
 * The same for a workspace within its fair share: it did not fill the queue.
 */
const ENTITLED_WAIT_SERVICES = 1.1;

/** Derives bounds on waits from the state of an admission queue. */
export class WaitPolicy {
  constructor(
    private readonly slots: slotPool.SlotPool,
    private readonly fairQueue: fairQueue.FairQueue,
    private readonly standing: standingQueue.StandingQueue,
  ) {}

  /** Fraction of the allowed wait that the estimated wait may take. */
  waitFraction(request: Request, workspace: Workspace, nowMs: number): number {
    // A workspace within its fair share is served next, whoever else waits.
    if (this.fairQueue.isWithinShare(workspace)) {
      return ENTITLED_WAIT_FRACTION;
    }
    return this.isOverloaded(request, nowMs)
      ? STANDING_WAIT_FRACTION
      : WAIT_FRACTION;
  }

  /**
   * Whether the queue that this request joins is a standing one. Bursts may use
   * the whole wait that a workspace allows, but a standing queue is kept short,
   * as in CoDel, since it adds wait and no throughput. Batch work may wait.
   */
  isOverloaded(request: Request, nowMs: number): boolean {
    const standingMs = this.standing.standingMs(request.priority, nowMs);
    const limitMs = STANDING_AFTER_SERVICES * this.slots.meanServiceMs;
    return request.priority !== 'batch' && standingMs > limitMs;
  }

  /** Current maximum wait for admission, in milliseconds. */
  maxWaitMs(request: Request, workspace: Workspace, nowMs: number): number {
    if (!this.isOverloaded(request, nowMs)) {
      return request.maxWaitMs;
    }
    const services = this.fairQueue.isWithinShare(workspace)
      ? ENTITLED_WAIT_SERVICES
      : STANDING_WAIT_SERVICES;
    return Math.min(request.maxWaitMs, services * this.slots.meanServiceMs);
  }
}
