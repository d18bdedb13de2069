/** Pure decisions under load; see package.json. One line per file, sorted. */
export * from './admission.js';
export * from './moving-estimate.js';
export * from './rendezvous.js';
export * from './retry-budget.js';
export * from './slot-pool.js';
export * from './workspace-queue.js';
