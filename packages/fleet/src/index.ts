/**
 * The state that one instance keeps of the store and of the other instances.
 */
export * from './store-backoff.js';
export * from './store-uptime.js';
export * from './kind-reflector.js';
export * from './kind-view.js';
export * from './member-table.js';
export * from './report-exchange.js';
export * from './view-refresher.js';
export * from './view-relay.js';
export * from './view-subscription.js';
