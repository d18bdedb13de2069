/** Waits until a stream has passed on what was written to it. */
import type * as stream from 'node:stream';

/**
 * Resolves once all that was written to `output` is passed on, or after
 * `limitMs`: a reader that has stopped must not keep a process from its end.
 */
export const flushStream = (
  output: Pick<stream.Writable, 'writableLength' | 'destroyed' | 'write'>,
  limitMs: number,
): Promise<void> => {
  if (output.writableLength === 0 || output.destroyed) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    const timer = setTimeout(resolve, limitMs);
    // Called for a failure too: then nothing more can be passed on.
    output.write('', () => {
      clearTimeout(timer);
      resolve();
    });
  });
};
