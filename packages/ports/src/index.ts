/** Ports to the platform and the rating service, with their HTTP adapters. */
export * from './bound-answer.js';
export * from './bound-wait.js';
export * from './byte-blocks.js';
export * from './clock.js';
export * from './discard-body.js';
export * from './gather-body.js';
export * from './http-client.js';
export * from './http-instance-list.js';
export * from './http-object-store.js';
export * from './instance-list.js';
export * from './keep-running.js';
export * from './object-store.js';
export * from './http-rating-service.js';
export * from './rating-service.js';
export * from './timeout.js';
export * from './watch-for-early-end.js';
export * from './watch-for-reset.js';
