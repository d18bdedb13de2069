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
  let cancel: timeouts.CancelTimeout = () => undefined;
  const timeout = new Promise<never>((_resolve, reject) => {
    cancel = timeouts.startTimeout(() => {
      const error = new TimedOut(timeoutMs);
      request.destroy(error);
      // One that waits for a connection fails only once it gets one.
      reject(error);
    }, timeoutMs);
  });
  try {
    return await Promise.race([step, timeout]);
  } finally {
    cancel();
  }
};
