/** Small stand-ins of outside systems, for tests, benches and the demo. */
export * from './memory-object-store.js';
export * from './virtual-clock.js';
