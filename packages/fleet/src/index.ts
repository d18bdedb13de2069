/** What one instance knows of the store and of the other instances. */
export * from './answered-span.js';
export * from './kind-follower.js';
export * from './kind-view.js';
export * from './member-table.js';
export * from './report-exchange.js';
export * from './view-refresh.js';
export * from './view-relay.js';
export * from './view-subscription.js';
