/** Peers, leases, duties and configuration relay. */
export * from './configuration-follower.js';
export * from './configuration-head.js';
export * from './configuration-publisher.js';
export * from './configuration-relay.js';
export * from './configuration-step.js';
export * from './directory.js';
export * from './freshness.js';
export * from './peers.js';
export * from './duties.js';
export * from './lease.js';
export * from './generation-report.js';
export * from './head-move.js';
