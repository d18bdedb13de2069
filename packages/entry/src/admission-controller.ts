/** Waits for the pure admission queue's decisions; holds callers meanwhile. */
import * as purify from 'purify-ts';
import type * as decisions from '@amaranthknot/decisions';
import type * as ports from '@amaranthknot/ports';
import type * as apiError from './api-error.js';

/** Gives the slot back; only the first call counts. */
export type Release = () => void;

type Decision = purify.Either<apiError.ApiError, Release>;

/** How often waiting requests are checked for expiry, in milliseconds. */
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

/** Admits callers one by one as the queue decides. */
export class AdmissionController {
  private readonly waiting = new Map<string, (decision: Decision) => void>();
  private expiring = false;

  constructor(
    private readonly queue: decisions.AdmissionQueue,
    private readonly clock: ports.Clock,
  ) {}

  /** Requests that run. */
  get inFlight(): number {
    return this.queue.inFlight;
  }

  /** Requests that wait. */
  get queued(): number {
    return this.queue.queued;
  }

  /** Resolves when the request may run, or at once when it is refused. */
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

  /** Runs while anyone waits: a request given up on is answered at once. */
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
