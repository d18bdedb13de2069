/** Reads an upstream's body whole. */
import type * as upstreamCall from './upstream-call.js';

/**
 * Largest answer held in memory, in bytes. Answers of plain services are a few
 * kilobytes; held whole, a broken one can be asked for again.
 */
export const MAX_BUFFERED_BYTES = 8_388_608;

/** The body, or undefined where it broke off or is too large. */
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
