/** Ends answers that their callers don't read. */
import type * as http from 'node:http';
import * as ports from '@amaranthknot/ports';

/**
 * Time after the deadline of its request in which a caller must read a part of
 * its answer, in milliseconds, and again after each part.
 */
const UNREAD_ANSWER_MS = 2_000;

/**
 * Calls `breakOff` if the caller reads nothing of its answer for a while, after
 * `afterMs`. An answer of which it still reads is delivered, however late.
 *
 * Guards against callers who stay and don't read: what their answers hold of the
 * bound for memory would be missed by all others, for as long as they stay.
 */
export const breakOffUnread = (
  response: http.ServerResponse,
  afterMs: number,
  breakOff: () => void,
): void => {
  const cancel = ports.startTimeout(() => {
    // Node.js counts the bytes that the system takes as activity.
    response.setTimeout(UNREAD_ANSWER_MS, breakOff);
  }, afterMs);
  response.once('close', cancel);
};
