/** Results of admission: admitted, queued, or refused with a reason. */
import type * as workspaceQueue from './workspace-queue.js';

/** Why a request was not admitted. A refused request has not run. */
export type AdmissionRefusalReason =
  | 'no_capacity'
  | 'queue_full'
  | 'workspace_queue_full'
  | 'deadline_unreachable'
  | 'overloaded'
  | 'wait_expired';

/** Immediate result of offering a request. */
export type AdmissionOutcome =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'queued'; readonly estimatedWaitMs: number}
  | {
      readonly kind: 'refused';
      readonly reason: AdmissionRefusalReason;
      /** Delay before a retry, in milliseconds, jitter included. */
      readonly retryAfterMs: number;
    };

/** Refusal of a request that had been waiting. */
export interface AdmissionRefusal {
  readonly request: workspaceQueue.AdmissionRequest;
  readonly reason: AdmissionRefusalReason;
  readonly retryAfterMs: number;
}
