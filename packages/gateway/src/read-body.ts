/** Reads an upstream's body to its end. */
import type * as upstreamCall from './upstream-call.js';

/**
 * Largest buffered answer, in bytes. Answers of plain services have a few
 * kilobytes; they are buffered so that a broken one can be requested again.
 */
export const MAX_BUFFERED_BYTES = 8_388_608;

/** Resolves to the body; undefined if it broke off or is too large. */
export const readBody = ({
  body: message,
  isBroken,
}: upstreamCall.UpstreamAnswer): Promise<Buffer | undefined> =>
  new Promise(resolve => {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size > MAX_BUFFERED_BYTES) {
        message.destroy();
      }
    });
    message.once('end', () => {
      const isWhole = message.complete && !isBroken();
      resolve(isWhole ? Buffer.concat(chunks, size) : undefined);
    });
    message.once('error', () => {
      resolve(undefined);
    });
    message.once('close', () => {
      resolve(undefined);
    });
  });
