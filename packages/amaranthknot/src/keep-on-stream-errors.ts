/**
 * Keeps this process running when its standard output or error can't be
 * written: whoever reads them may have ended, or their disk may be full.
 *
 * Guards against a log collector whose end ends the instance too, with every
 * request in progress. Writes that come later are tried again, as a FIFO may
 * get another reader and a disk may get free space.
 */
import type * as stream from 'node:stream';

const loseLine = (): void => {
  // `DecisionLog` counts the lines that it loses, and no other place is left to
  // write to.
};

/** Keeps errors of `streams` from ending this process. */
export const keepOnStreamErrors = (
  streams: readonly stream.Writable[] = [process.stdout, process.stderr],
): void => {
  for (const writable of streams) {
    writable.on('error', loseLine);
  }
};
