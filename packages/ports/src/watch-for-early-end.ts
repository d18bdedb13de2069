/** Tells an answer that its connection ends in order from one that it cuts. */
import type * as http from 'node:http';
import * as watchForReset from './watch-for-reset.js';

/**
 * Watches an answer that nothing but its connection ends; the function that is
 * returned says, once it has ended, whether it was cut.
 *
 * Guards against a part that is taken for the whole: a server that gives up may
 * answer at once, send a part and reset the connection while the request is still
 * being written. The write that fails takes the reset with it, and what is read
 * then looks like the end of the answer. So an answer that ends before its request
 * was sent, or after an error of its connection, counts as cut.
 */
export const watchForEarlyEnd = (
  request: http.ClientRequest,
  response: http.IncomingMessage,
): (() => boolean) => {
  const wasReset = watchForReset.watchForReset(response.socket);
  let isCut = false;
  const markCut = () => {
    isCut = true;
  };
  request.once('error', markCut);
  response.prependOnceListener('end', () => {
    isCut ||= !request.writableFinished;
  });
  return () => isCut || wasReset();
};
