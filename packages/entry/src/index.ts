/** The caller-facing server and what it decides by. */
export * from './admission-controller.js';
export * from './api-error.js';
export * from './authenticate.js';
export * from './chat-runner.js';
export * from './entry-dependencies.js';
export * from './entry-server.js';
export * from './resolve-plan.js';
export * from './select-version.js';
export * from './session-token.js';
export * from './pin-registry.js';
export * from './upstream-directory.js';
export * from './rating-sampler.js';
export * from './rollout-counters.js';
export * from './rollout-driver.js';
export * from './rollout-shares.js';
export * from './warm-up-limiter.js';
export * from './zone-ramp.js';
