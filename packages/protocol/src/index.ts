/** Typed messages between instances, entry or gateway ones. */
export type * from './fleet-messages.js';
export * from './forwarded-request.js';
export * from './http-transport.js';
export * from './messages.js';
export * from './peer-client.js';
export * from './peer-server.js';
export * from './peer-transport.js';
