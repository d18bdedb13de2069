/** Environment documents and settings. */
export * from './document.js';
export * from './parse-document.js';
export * from './problem.js';
export * from './target.js';
export * from './address.js';
export * from './parse-settings.js';
export * from './read-secret.js';
export * from './settings.js';
