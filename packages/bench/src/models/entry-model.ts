/**
 * Simulated entry instance: the admission, placement and retry budget of the
 * product or of a baseline, in front of simulated upstreams.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as simulation from './simulation.js';
import type * as upstreamModel from './upstream-model.js';

/** Decides which requests run, wait or are refused. */
export type Admission = Pick<
  decisions.AdmissionQueue,
  'offer' | 'release' | 'expire' | 'nextExpiryMs' | 'cancel' | 'queued'
>;

/** Decides which upstream a request is sent to. */
export type Placement = Pick<
  decisions.Placement,
  'choose' | 'start' | 'finish' | 'report'
>;

/** A caller's request. */
export interface CallerRequest {
  readonly id: string;
  readonly workspace: string;
  readonly priority: decisions.AdmissionPriority;
  readonly offeredMs: number;
  readonly deadlineMs: number;
  readonly maxWaitMs: number;
  readonly weight: number;
  /** Service time at an upstream at full speed. */
  readonly serviceMs: number;
  /** Service time that the instance expects from the request. */
  readonly expectedServiceMs?: number;
  readonly prefix?: string;
}

/** How a request ended. */
export interface CallerOutcome {
  readonly request: CallerRequest;
  readonly kind: 'answered' | 'refused' | 'timed_out';
  /** Time in the admission queue, in milliseconds. */
  readonly waitMs: number;
  /** Time from the offer to the outcome, in milliseconds. */
  readonly totalMs: number;
  readonly endedMs: number;
  readonly reason?: decisions.AdmissionRefusalReason;
  readonly retryAfterMs?: number;
}

/** Dependencies and conditions of an entry instance. */
export interface EntryModelOptions {
  readonly time: simulation.Simulation;
  readonly admission: Admission;
  readonly placement: Placement;
  readonly upstreams: ReadonlyMap<string, upstreamModel.UpstreamModel>;
  /** Whether work is cancelled when its caller's deadline passes. */
  readonly cancelsLateWork: boolean;
  /** Draws whether the upstream rejects an attempt. */
  readonly isAttemptBounced: () => boolean;
  /** Whether a failed attempt may be retried. */
  readonly tryRetry: (upstreamId: string, attempt: number) => boolean;
  readonly recordAttempt: (upstreamId: string) => void;
  readonly record: (outcome: CallerOutcome) => void;
}

interface Attempt {
  readonly request: CallerRequest;
  readonly waitMs: number;
  readonly number: number;
}

/** The model version that all requests ask for. */
export const TARGET = 'model@1';

/** Time until an attempt that an upstream rejects has failed. */
const BOUNCE_MS = 5;

const PRIORITY_RANK: Readonly<Record<decisions.AdmissionPriority, number>> = {
  door_check: 0,
  interactive: 1,
  batch: 2,
};

/** An entry instance in virtual time. */
export class EntryModel {
  /** First attempts sent to upstreams. */
  attempts = 0;
  retries = 0;
  /** Requests that finished after their deadline. */
  lateWork = 0;
  private expiryMs = Infinity;
  private readonly waiting = new Map<string, CallerRequest>();

  constructor(private readonly options: EntryModelOptions) {}

  /** Admits, queues or refuses a request. */
  offer(request: CallerRequest): void {
    const {time, admission} = this.options;
    const outcome = admission.offer(toAdmission(request), time.nowMs);
    switch (outcome.kind) {
      case 'admitted':
        this.send({request, waitMs: 0, number: 0});
        break;
      case 'queued':
        this.waiting.set(request.id, request);
        this.scheduleExpiry();
        break;
      case 'refused':
        this.finish(request, 'refused', 0, outcome);
        break;
    }
  }

  private send(attempt: Attempt): void {
    const {time, placement, recordAttempt} = this.options;
    const {request} = attempt;
    const placed = placement.choose(
      {
        target: TARGET,
        ...(request.prefix ? {affinityKey: request.prefix} : {}),
      },
      time.nowMs,
    );
    if (placed.kind === 'unplaced') {
      throw new Error(
        `placement of ${request.id} found no upstream for ${TARGET}: ${placed.reason}`,
      );
    }
    const id = placed.upstreamId;
    this.attempts += attempt.number === 0 ? 1 : 0;
    if (attempt.number === 0) {
      recordAttempt(id);
    }
    placement.start(id, time.nowMs);
    if (this.options.isAttemptBounced()) {
      time.after(BOUNCE_MS, () => this.bounce(id, attempt));
    } else {
      this.run(id, attempt);
    }
  }

  private bounce(id: string, attempt: Attempt): void {
    const {time, placement, tryRetry} = this.options;
    placement.finish(id, 'failed', BOUNCE_MS, time.nowMs);
    if (tryRetry(id, attempt.number)) {
      this.retries++;
      this.send({...attempt, number: attempt.number + 1});
      return;
    }
    this.finish(attempt.request, 'timed_out', attempt.waitMs);
    this.releaseSlot(attempt.request.id);
  }

  private run(id: string, attempt: Attempt): void {
    const {time, placement, upstreams, cancelsLateWork} = this.options;
    const {request, waitMs} = attempt;
    const startedMs = time.nowMs;
    let isOver = false;
    const cancel = upstreams.get(id)?.send({
      serviceMs: request.serviceMs,
      priority: PRIORITY_RANK[request.priority],
      ...(request.prefix ? {prefix: request.prefix} : {}),
      finish: () => {
        isOver = true;
        const size = request.expectedServiceMs ?? REFERENCE_MS;
        const unitMs = ((time.nowMs - startedMs) / size) * REFERENCE_MS;
        placement.finish(id, 'answered', unitMs, time.nowMs);
        const isLate = time.nowMs > request.deadlineMs;
        this.lateWork += isLate ? 1 : 0;
        this.finish(request, isLate ? 'timed_out' : 'answered', waitMs);
        this.releaseSlot(request.id);
      },
    });
    if (cancelsLateWork) {
      time.at(request.deadlineMs, () => {
        if (!isOver) {
          cancel?.();
          placement.finish(id, 'cancelled', 0, time.nowMs);
          this.finish(request, 'timed_out', waitMs);
          this.releaseSlot(request.id);
        }
      });
    }
  }

  private releaseSlot(id: string): void {
    const {time, admission} = this.options;
    this.expire();
    this.sendAll(admission.release(id, time.nowMs));
  }

  private sendAll(admitted: readonly decisions.AdmissionRequest[]): void {
    const {time} = this.options;
    for (const {id} of admitted) {
      const request = this.waiting.get(id);
      if (request) {
        this.waiting.delete(id);
        const waitMs = time.nowMs - request.offeredMs;
        this.send({request, waitMs, number: 0});
      }
    }
  }

  private expire(): void {
    const {time, admission} = this.options;
    for (const refusal of admission.expire(time.nowMs)) {
      const request = this.waiting.get(refusal.request.id);
      if (request) {
        this.waiting.delete(request.id);
        this.finish(
          request,
          'refused',
          time.nowMs - request.offeredMs,
          refusal,
        );
      }
    }
    this.scheduleExpiry();
  }

  private scheduleExpiry(): void {
    const {time, admission} = this.options;
    const next = admission.nextExpiryMs();
    if (next === undefined || next >= this.expiryMs) {
      return;
    }
    this.expiryMs = next;
    time.at(next, () => {
      this.expiryMs = Infinity;
      this.expire();
    });
  }

  private finish(
    request: CallerRequest,
    kind: CallerOutcome['kind'],
    waitMs: number,
    refusal?: Pick<decisions.AdmissionRefusal, 'reason' | 'retryAfterMs'>,
  ): void {
    const endedMs = this.options.time.nowMs;
    const totalMs = endedMs - request.offeredMs;
    const {reason, retryAfterMs} = refusal ?? {};
    this.options.record({
      request,
      kind,
      waitMs,
      totalMs,
      endedMs,
      ...(reason ? {reason} : {}),
      ...(retryAfterMs ? {retryAfterMs} : {}),
    });
  }
}

/** Service time that reported latencies are scaled to. */
const REFERENCE_MS = 800;

const toAdmission = (request: CallerRequest): decisions.AdmissionRequest => ({
  id: request.id,
  workspace: request.workspace,
  priority: request.priority,
  weight: request.weight,
  deadlineMs: request.deadlineMs,
  maxWaitMs: request.maxWaitMs,
  maxConcurrent: 1000,
  maxQueued: 200,
  ...(request.expectedServiceMs === undefined
    ? {}
    : {expectedServiceMs: request.expectedServiceMs}),
});
