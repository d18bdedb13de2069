import type * as http from 'node:http';

/**
 * Whether an answer says where it ends. One that doesn't ends with its
 * connection, in whatever way that ends.
 */
export const isFramed = ({headers}: http.IncomingMessage): boolean =>
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;
