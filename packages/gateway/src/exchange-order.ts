/**
 * The order of the requests on each connection, of callers that send the next
 * one before the answer to the last.
 *
 * Guards against a request that runs and gets no answer: the connection closes
 * after the first answer that says so, and what was read behind it is dropped.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

const newest = new WeakMap<net.Socket, http.ServerResponse>();

const saysClose = (response: http.ServerResponse): boolean =>
  (response as unknown as {_last?: boolean})._last === true;

/**
 * Records a request that was read; returns false if it can get no answer, as
 * its connection closes after the answer to an earlier one.
 */
export const recordExchange = (
  socket: net.Socket,
  response: http.ServerResponse,
): boolean => {
  const last = newest.get(socket);
  if (last?.headersSent && saysClose(last)) {
    return false;
  }
  newest.set(socket, response);
  return true;
};

/** Whether no request was read behind that of `response`. */
export const isNewestExchange = (response: http.ServerResponse): boolean => {
  const last = response.socket && newest.get(response.socket);
  return !last || last === response;
};
