/** Pure decision logic: time and random numbers are arguments. */
export * from './cascade-plan.js';
export * from './cascade.js';
export * from './logistic-estimate.js';
export * from './rollout-evidence.js';
export * from './rollout-guard.js';
export * from './sequential-test.js';
export * from './stage-belief.js';
