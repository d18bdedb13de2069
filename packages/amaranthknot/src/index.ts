/** See package.json for what this package is for. */
export * from './embedded-deployment.js';
export * from './gateway/gateway-components.js';
export * from './gateway/gateway-wiring.js';
export * from './gateway/instance-loops.js';
export * from './gateway/settings-source.js';
