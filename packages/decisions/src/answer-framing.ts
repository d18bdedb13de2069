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

/** Codings of which the last one is that in chunks (RFC 9112, section 6.3). */
const LAST_IS_CHUNKED = /(^|,)\s*chunked\s*$/i;

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
  const codings = headers['transfer-encoding'];
  if (codings !== undefined) {
    // The connection ends a body whose last coding is another one.
    return LAST_IS_CHUNKED.test(String(codings)) ? 'chunks' : 'connection';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
};
