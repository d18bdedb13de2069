/**
 * Peers, leases, leased tasks, and the configuration that entry instances
 * follow.
 */
export * from './configuration-follower.js';
export * from './configuration-head.js';
export * from './configuration-publisher.js';
export * from './configuration-relay.js';
export * from './configuration-update.js';
export * from './directory.js';
export * from './freshness.js';
export * from './peer-table.js';
export * from './leased-task-runner.js';
export * from './lease-keeper.js';
export * from './generation-report.js';
export * from './head-update.js';
