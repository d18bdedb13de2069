/**
 * One entry instance for benches: the product's own admission, placement and
 * retry budget, or the baseline's, before upstream models.
 */
import * as decisions from '@amaranthknot/decisions';
import type * as simulation from './simulation.js';
import type * as upstreamModel from './upstream-model.js';

/** Decides what runs, waits and is refused. */
export type Gate = Pick<
  decisions.AdmissionQueue,
  'offer' | 'release' | 'expire' | 'nextExpiryMs' | 'cancel' | 'queued'
>;

/** Decides where a request runs. */
export type Chooser = Pick<
  decisions.Placement,
  'choose' | 'start' | 'finish' | 'report'
>;

/** A request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly workspace: string;
  readonly priority: decisions.AdmissionPriority;
  readonly offeredMs: number;
  readonly deadlineMs: number;
  readonly maxWaitMs: number;
  readonly weight: number;
  /** Time in the batch of a sound upstream. */
  readonly serviceMs: number;
  /** Time that the instance expects from what it can see of the request. */
  readonly expectedServiceMs?: number;
  readonly prefix?: string;
}

/** What became of a request. */
export interface CallerOutcome {
  readonly request: CallerRequest;
  readonly kind: 'answered' | 'refused' | 'timed_out';
  /** Wait for admission in milliseconds. */
  readonly waitMs: number;
  /** Time from the offer to the outcome. */
  readonly totalMs: number;
  readonly endedMs: number;
  readonly reason?: decisions.AdmissionRefusalReason;
  readonly retryAfterMs?: number;
}

/** Parts and conditions of an entry model. */
export interface EntryModelOptions {
  readonly time: simulation.Simulation;
  readonly gate: Gate;
  readonly chooser: Chooser;
  readonly upstreams: ReadonlyMap<string, upstreamModel.UpstreamModel>;
  /** Whether work is cancelled when its caller's deadline passes. */
  readonly cancelsLateWork: boolean;
  /** Whether an attempt is bounced by the upstream. */
  readonly fails: () => boolean;
  /** Asks for one retry at an upstream. */
  readonly tryRetry: (upstreamId: string, attempt: number) => boolean;
  readonly recordAttempt: (upstreamId: string) => void;
  readonly record: (outcome: CallerOutcome) => void;
}

interface Attempt {
  readonly request: CallerRequest;
  readonly waitMs: number;
  readonly number: number;
}

/** The one target of the benches. */
export const TARGET = 'model@1';

/** Time after which a bounced attempt is known to have failed. */
const BOUNCE_MS = 5;

const PRIORITY_RANK: Readonly<Record<decisions.AdmissionPriority, number>> = {
  door_check: 0,
  interactive: 1,
  batch: 2,
};

/** One entry instance in virtual time. */
export class EntryModel {
  /** First attempts and retries sent to upstreams. */
  attempts = 0;
  retries = 0;
  /** Work that ended after its deadline. */
  lateWork = 0;
  private expiryMs = Infinity;
  private readonly waiting = new Map<string, CallerRequest>();

  constructor(private readonly options: EntryModelOptions) {}

  /** Takes a caller's request. */
  offer(request: CallerRequest): void {
    const {time, gate} = this.options;
    const outcome = gate.offer(toAdmission(request), time.nowMs);
    switch (outcome.kind) {
      case 'admitted':
        this.send({request, waitMs: 0, number: 0});
        break;
      case 'queued':
        this.waiting.set(request.id, request);
        this.watchExpiry();
        break;
      case 'refused':
        this.end(request, 'refused', 0, outcome);
        break;
    }
  }

  private send(attempt: Attempt): void {
    const {time, chooser, recordAttempt} = this.options;
    const {request} = attempt;
    const placed = chooser.choose(
      {
        target: TARGET,
        ...(request.prefix ? {affinityKey: request.prefix} : {}),
      },
      time.nowMs,
    );
    if (placed.kind === 'unplaced') {
      throw new Error(`no upstream: ${placed.reason}`);
    }
    const id = placed.upstreamId;
    this.attempts += attempt.number === 0 ? 1 : 0;
    if (attempt.number === 0) {
      recordAttempt(id);
    }
    chooser.start(id, time.nowMs);
    if (this.options.fails()) {
      time.after(BOUNCE_MS, () => this.bounce(id, attempt));
    } else {
      this.run(id, attempt);
    }
  }

  private bounce(id: string, attempt: Attempt): void {
    const {time, chooser, tryRetry} = this.options;
    chooser.finish(id, 'failed', BOUNCE_MS, time.nowMs);
    if (tryRetry(id, attempt.number)) {
      this.retries++;
      this.send({...attempt, number: attempt.number + 1});
      return;
    }
    this.end(attempt.request, 'timed_out', attempt.waitMs);
    this.free(attempt.request.id);
  }

  private run(id: string, attempt: Attempt): void {
    const {time, chooser, upstreams, cancelsLateWork} = this.options;
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
        chooser.finish(id, 'answered', unitMs, time.nowMs);
        const isLate = time.nowMs > request.deadlineMs;
        this.lateWork += isLate ? 1 : 0;
        this.end(request, isLate ? 'timed_out' : 'answered', waitMs);
        this.free(request.id);
      },
    });
    if (cancelsLateWork) {
      time.at(request.deadlineMs, () => {
        if (!isOver) {
          cancel?.();
          chooser.finish(id, 'cancelled', 0, time.nowMs);
          this.end(request, 'timed_out', waitMs);
          this.free(request.id);
        }
      });
    }
  }

  private free(id: string): void {
    const {time, gate} = this.options;
    this.expire();
    this.sendAll(gate.release(id, time.nowMs));
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
    const {time, gate} = this.options;
    for (const refusal of gate.expire(time.nowMs)) {
      const request = this.waiting.get(refusal.request.id);
      if (request) {
        this.waiting.delete(request.id);
        this.end(request, 'refused', time.nowMs - request.offeredMs, refusal);
      }
    }
    this.watchExpiry();
  }

  private watchExpiry(): void {
    const {time, gate} = this.options;
    const next = gate.nextExpiryMs();
    if (next === undefined || next >= this.expiryMs) {
      return;
    }
    this.expiryMs = next;
    time.at(next, () => {
      this.expiryMs = Infinity;
      this.expire();
    });
  }

  private end(
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

/** Size of a request that latencies are scaled to. */
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
