/** What admission answers. */
import type * as workspaceQueue from './workspace-queue.js';

/** Why a request was not admitted; in each case it has not run. */
export type AdmissionRefusalReason =
  | 'no_capacity'
  | 'queue_full'
  | 'workspace_queue_full'
  | 'deadline_unreachable'
  | 'overloaded'
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
