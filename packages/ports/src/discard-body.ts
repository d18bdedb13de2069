/** Reads and drops a body that nobody needs, within bounds. */
import type * as http from 'node:http';
import * as timeouts from './timeout.js';

/** Bounds within which a body is read that is dropped. */
export interface DiscardBounds {
  readonly maxBytes: number;
  /** Longest time for which it is read, in milliseconds. */
  readonly maxMs: number;
}

/**
 * Reads what is left of a body, so that its connection can carry the next
 * exchange; calls `giveUp` if it has not ended within the bounds.
 *
 * Guards against bodies without end, which would be read for as long as they
 * come, after their exchange is over.
 */
export const discardBody = (
  message: http.IncomingMessage,
  {maxBytes, maxMs}: DiscardBounds,
  giveUp: () => void,
): void => {
  let bytes = 0;
  const stop = () => {
    cancel();
    message.off('data', count);
    message.off('end', stop);
    message.off('close', stop);
  };
  const end = () => {
    stop();
    giveUp();
  };
  const count = (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      end();
    }
  };
  const cancel = timeouts.startTimeout(end, maxMs);
  message.on('data', count);
  message.once('end', stop);
  message.once('close', stop);
  message.resume();
};
