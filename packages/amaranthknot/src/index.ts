/** Public interface of the package: the gateway wiring and the embedded deployment. */
export * from './embedded-deployment.js';
export * from './gateway/gateway-components.js';
export * from './gateway/gateway-wiring.js';
export * from './gateway/instance-loops.js';
export * from './gateway/settings-source.js';
