/** Environment documents and settings. */
export * from './document.js';
export * from './parse-document.js';
export * from './problem.js';
export * from './target.js';
