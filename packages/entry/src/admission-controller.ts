/** Holds callers until the admission queue, a pure decision, admits them. */
import * as purify from 'purify-ts';
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as apiError from './api-error.js';

/** Releases the slot; further calls have no effect. */
export type Release = () => void;

type Decision = purify.Either<apiError.ApiError, Release>;

/** Interval of expiry checks while requests wait, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 20;

const CODE_BY_REASON: Record<
  decisions.AdmissionRefusalReason,
  apiError.ApiErrorCode
> = {
  no_capacity: 'over_capacity',
  queue_full: 'over_capacity',
  workspace_queue_full: 'over_capacity',
  deadline_unreachable: 'deadline_unreachable',
  overloaded: 'over_capacity',
  wait_expired: 'over_capacity',
};

const toError = (
  reason: decisions.AdmissionRefusalReason,
  retryAfterMs: number,
): apiError.ApiError => ({
  code: CODE_BY_REASON[reason],
  ran: 'not_run',
  message: `refused at admission: ${reason}`,
  retryAfterMs,
});

/** Admits, queues or refuses requests as the admission queue decides. */
export class AdmissionController {
  private readonly waiting = new Map<string, (decision: Decision) => void>();
  private expiring = false;

  constructor(
    private readonly queue: decisions.AdmissionQueue,
    private readonly clock: ports.Clock,
  ) {}

  /** Number of admitted requests that have not released their slot. */
  get inFlight(): number {
    return this.queue.inFlight;
  }

  /** Number of waiting requests. */
  get queued(): number {
    return this.queue.queued;
  }

  /**
   * Resolves when the request is admitted, refused or given up on. An abort of
   * `signal` removes a waiting request from the queue.
   */
  admit(
    request: decisions.AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Decision> {
    const outcome = this.queue.offer(request, this.clock.now());
    switch (outcome.kind) {
      case 'admitted':
        return Promise.resolve(purify.Right(this.createRelease(request.id)));
      case 'refused': {
        const {reason, retryAfterMs} = outcome;
        return Promise.resolve(purify.Left(toError(reason, retryAfterMs)));
      }
      case 'queued':
        return this.wait(request.id, signal);
    }
  }

  private wait(id: string, signal: AbortSignal): Promise<Decision> {
    return new Promise(resolve => {
      this.waiting.set(id, resolve);
      signal.addEventListener('abort', () => this.cancel(id), {once: true});
      void this.expire();
    });
  }

  private cancel(id: string): void {
    const resolve = this.waiting.get(id);
    if (!resolve) {
      return;
    }
    this.waiting.delete(id);
    this.resolveAdmitted(this.queue.cancel(id, this.clock.now()));
    resolve(
      purify.Left({
        code: 'over_capacity',
        ran: 'not_run',
        message: 'the caller left while waiting',
      }),
    );
  }

  private createRelease(id: string): Release {
    let released = false;
    return () => {
      if (released) {
        return;
      }
      released = true;
      this.resolveAdmitted(this.queue.release(id, this.clock.now()));
    };
  }

  private resolveAdmitted(
    admitted: readonly decisions.AdmissionRequest[],
  ): void {
    for (const {id} of admitted) {
      const resolve = this.waiting.get(id);
      this.waiting.delete(id);
      resolve?.(purify.Right(this.createRelease(id)));
    }
  }

  /** Checks for expired requests while any wait, so that they are answered. */
  private async expire(): Promise<void> {
    if (this.expiring) {
      return;
    }
    this.expiring = true;
    while (this.waiting.size > 0) {
      await this.clock.sleep(EXPIRY_CHECK_INTERVAL_MS);
      for (const refusal of this.queue.expire(this.clock.now())) {
        const resolve = this.waiting.get(refusal.request.id);
        this.waiting.delete(refusal.request.id);
        const {reason, retryAfterMs} = refusal;
        resolve?.(purify.Left(toError(reason, retryAfterMs)));
      }
    }
    this.expiring = false;
  }
}
