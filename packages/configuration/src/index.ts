/** Environment documents and settings: types, parsing, checks and sections. */
export * from './address.js';
export * from './diff-documents.js';
export * from './document.js';
export * from './find-reactivations.js';
export * from './format-document.js';
export * from './parse-document.js';
export * from './gateway-settings.js';
export * from './parse-gateway-settings.js';
export * from './parse-instances.js';
export * from './parse-settings.js';
export * from './problem.js';
export * from './read-secret.js';
export * from './sections.js';
export * from './settings.js';
export * from './target.js';
export * from './util/canonical-json.js';
export * from './util/find-nearest.js';
