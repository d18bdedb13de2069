/** Reads an upstream's body to its end. */
import type * as stream from 'node:stream';
import type * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import type * as upstreamCall from './upstream-call.js';

/**
 * Largest buffered answer, in bytes. Answers of plain services have a few
 * kilobytes; they are buffered so that a broken one can be requested again.
 */
export const MAX_BUFFERED_BYTES = 8_388_608;

/**
 * Resolves to the body; undefined if it broke off or is too large. Reading
 * pauses while the instance holds as many bytes of answers as it may.
 */
export const readBody = (
  {body: message, isBroken}: upstreamCall.UpstreamAnswer,
  memory?: decisions.MemoryLease,
): Promise<Buffer | undefined> =>
  new Promise(resolve => {
    const bytes = new ports.ByteBlocks();
    message.on('data', (chunk: Buffer) => {
      bytes.add(chunk);
      if (bytes.length > MAX_BUFFERED_BYTES) {
        message.destroy();
      } else if (memory) {
        pauseUntilGranted(message, memory, chunk.length);
      }
    });
    message.once('end', () => {
      const isWhole = message.complete && !isBroken();
      resolve(isWhole ? bytes.concat() : undefined);
    });
    message.once('error', () => {
      resolve(undefined);
    });
    message.once('close', () => {
      resolve(undefined);
    });
  });

const pauseUntilGranted = (
  message: stream.Readable,
  memory: decisions.MemoryLease,
  bytes: number,
): void => {
  const mayGoOn = memory.requestAnswer(bytes, () => {
    message.resume();
  });
  if (!mayGoOn) {
    message.pause();
  }
};
