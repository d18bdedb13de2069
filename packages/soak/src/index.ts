/** A randomized soak of gateway instances before stand-ins, from outside. */
export * from './fault-plan.js';
export * from './loopback-proxy.js';
export * from './invariants.js';
export * from './run-soak.js';
