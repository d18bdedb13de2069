/** Routes, services, upstreams and rollouts as the gateway knows them. */
export * from './address.js';
export * from './find-route.js';
export * from './rollout.js';
export * from './routing-table.js';
export * from './upstream.js';
