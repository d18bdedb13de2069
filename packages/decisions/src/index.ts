/** Pure decisions under load; see package.json. One line per file, sorted. */
export * from './admission-outcome.js';
export * from './admission.js';
export * from './demand-meter.js';
export * from './expiry-queue.js';
export * from './fair-share.js';
export * from './hash-ring.js';
export * from './hot-keys.js';
export * from './moving-estimate.js';
export * from './placement-pool.js';
export * from './placement.js';
export * from './rendezvous.js';
export * from './retry-budget.js';
export * from './slot-pool.js';
export * from './standing-queue.js';
export * from './upstream-load.js';
export * from './wait-policy.js';
export * from './workspace-queue.js';
