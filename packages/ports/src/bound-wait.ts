/** Bounds the wait for one step of an HTTP exchange. */
import type * as http from 'node:http';
import * as timeouts from './timeout.js';

/** The error with which an exchange ends that takes too long. */
export class TimedOut extends Error {
  constructor(timeoutMs: number) {
    super(`the server did not answer in time: expected within ${timeoutMs} ms`);
  }
}

/**
 * Settles as `step` does; destroys the request if that takes longer than
 * `timeoutMs`. What came in time is read first, so that a process that was busy
 * takes no server for silent.
 */
export const boundWait = async <T>(
  request: http.ClientRequest,
  step: Promise<T>,
  timeoutMs: number,
): Promise<T> => {
  const cancel = timeouts.startTimeout(() => {
    request.destroy(new TimedOut(timeoutMs));
  }, timeoutMs);
  try {
    return await step;
  } finally {
    cancel();
  }
};
