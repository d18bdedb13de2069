/**
 * Reads a caller's body within bounds: that of the configuration for one body,
 * and that of this instance for all that it holds.
 */
import type * as http from 'node:http';
import type * as decisions from '@amaranthknot/decisions';
import * as ports from '@amaranthknot/ports';
import type * as notice from './notice.js';

/**
 * Why a body wasn't read.
 *
 * - `too_large`: it is longer than the configuration allows.
 * - `no_memory`: the instance holds as many bytes as it may.
 * - `gone`: the caller closed before its end.
 * - `closing`: the instance stops, and refuses what has not come whole.
 */
export type UnreadReason = 'too_large' | 'no_memory' | 'gone' | 'closing';

/** Bounds within which a body is read. */
export interface BodyBounds {
  /** Longest body that the configuration allows, in bytes. */
  readonly maxBytes: number;
  readonly memory: decisions.MemoryLease;
  /** Given once the instance closes its connections. */
  readonly closing: notice.Notice;
}

/** Longest time for which the rest of a refused body is read, in ms. */
const MAX_DISCARD_MS = 5_000;

/**
 * Reads and drops the rest of a body whose request is refused, so that the caller
 * gets its answer on an open connection. One that is longer than a request may be
 * ends with its connection.
 */
export const discardRest = (
  message: http.IncomingMessage,
  maxBytes: number,
): void => {
  const bounds = {maxBytes, maxMs: MAX_DISCARD_MS};
  ports.discardBody(message, bounds, () => {
    message.socket.destroySoon();
  });
};

/** Bytes that the head declares; 0 if it declares none. */
const findDeclaredBytes = ({headers}: http.IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

/**
 * Reads the body to its end. A body that is too long is refused by the length
 * that its head declares, before it is read.
 */
export const readRequestBody = (
  message: http.IncomingMessage,
  {maxBytes, memory, closing}: BodyBounds,
): Promise<Buffer | UnreadReason> =>
  new Promise(resolve => {
    const declared = findDeclaredBytes(message);
    if (declared > maxBytes) {
      discardRest(message, maxBytes);
      resolve('too_large');
      return;
    }
    if (!memory.hasRoomForBody(declared)) {
      discardRest(message, maxBytes);
      resolve('no_memory');
      return;
    }
    const bytes = new ports.ByteBlocks();
    let unsubscribe = (): void => undefined;
    const finish = (outcome: Buffer | UnreadReason) => {
      bytes.clear();
      message.off('data', read);
      unsubscribe();
      if (typeof outcome === 'string' && outcome !== 'gone') {
        discardRest(message, maxBytes);
      }
      resolve(outcome);
    };
    const read = (chunk: Buffer) => {
      if (bytes.length + chunk.length > maxBytes) {
        finish('too_large');
      } else if (!memory.takeBody(chunk.length)) {
        finish('no_memory');
      } else {
        bytes.add(chunk);
      }
    };
    message.on('data', read);
    message.once('end', () => {
      finish(bytes.concat());
    });
    message.once('error', () => {
      finish('gone');
    });
    message.once('close', () => {
      finish('gone');
    });
    unsubscribe = closing.subscribe(() => {
      finish('closing');
    });
  });
