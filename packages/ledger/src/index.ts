/** Request identities, claims and bills. */
export * from './bill-limits.js';
export * from './bill.js';
export * from './bill-ledger.js';
export * from './replica-selection.js';
export type {Claim} from './claim-attempt.js';
export * from './claim-limits.js';
export * from './claim-record.js';
export * from './claim-ledger.js';
export * from './copy-store.js';
export * from './copy-queue.js';
export * from './drain-ledger.js';
export * from './circuit-breaker.js';
export * from './bill-replicator.js';
export * from './read-bills.js';
export * from './request-identity.js';
export * from './write-lane.js';
