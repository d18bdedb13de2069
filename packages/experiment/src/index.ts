/** Simulates the gateway's policies on deployments drawn from seeds. */
export * from './compare-policies.js';
export * from './deployment.js';
export * from './draw-deployment.js';
export * from './emulated-engine.js';
export * from './run-simulation.js';
export * from './policy.js';
export * from './virtual-fleet.js';
