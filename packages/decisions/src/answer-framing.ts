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

/** Least and largest status of a final answer (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

const NO_CONTENT = 204;

/**
 * Whether a head is that of a final answer: interim ones and statuses that HTTP
 * doesn't have are none, nor is one without content that declares some (RFC 9110,
 * section 8.6).
 *
 * Guards against heads that can't be passed on, or that a caller takes for an
 * answer which its server never finished.
 */
export const isFinalHead = ({statusCode = 0, headers}: FramedHead): boolean => {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_FINAL_STATUS) {
    return false;
  }
  const declaresContent =
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) !== 0;
  return statusCode !== NO_CONTENT || !declaresContent;
};

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
