/** See package.json for what this package is for. */
export * from './embedded-deployment.js';
