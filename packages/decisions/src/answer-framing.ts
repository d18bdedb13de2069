/** How an answer says where its body ends. */

/**
 * What ends the body of an answer.
 *
 * - `length`: it has as many bytes as the head says.
 * - `chunks`: an empty chunk is the last one.
 * - `bodiless`: such an answer has no body.
 * - `connection`: nothing but the end of its connection, in whatever way that
 *   ends.
 */
export type AnswerFraming = 'length' | 'chunks' | 'bodiless' | 'connection';

/** The head of an answer; names of headers are in lower case. */
export interface FramedHead {
  readonly statusCode?: number | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Statuses of answers without a body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/** The framing of an answer to a request of this method. */
export const findFraming = (
  method: string,
  {statusCode = 0, headers}: FramedHead,
): AnswerFraming => {
  if (method === 'HEAD' || BODILESS.has(statusCode)) {
    return 'bodiless';
  }
  if (headers['transfer-encoding'] !== undefined) {
    return 'chunks';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
};
