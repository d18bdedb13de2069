/** Ports to the platform, one adapter each. */
export * from './clock.js';
export * from './instance-list.js';
export * from './object-store.js';
