/** Request identity, claims and bills. */
export * from './bill-limits.js';
export * from './bill.js';
export * from './bills.js';
export * from './choose-replicas.js';
export type {Claim} from './claim-attempt.js';
export * from './claim-limits.js';
export * from './claim-record.js';
export * from './claims.js';
export * from './copy-holder.js';
export * from './copy-queue.js';
export * from './drain-ledger.js';
export * from './outage-gate.js';
export * from './peer-copies.js';
export * from './read-bills.js';
export * from './request-identity.js';
export * from './write-lane.js';
