/** Environment documents and settings. */
export * from './document.js';
