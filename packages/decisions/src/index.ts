/** Pure decisions under load; see package.json. One line per file, sorted. */
export * from './rendezvous.js';
