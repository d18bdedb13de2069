/**
 * Identity of a request: what claims and bills are kept under, on whichever
 * instance a caller's retry arrives.
 */
import * as crypto from 'node:crypto';

/**
 * Bytes of the digest kept in a name. 160 bits make an accidental collision
 * at 15,000 requests/s over years negligible and keep copies of bills short.
 */
const NAME_BYTES = 20;

/** Identity of one request of one workspace. */
export interface RequestIdentity {
  readonly workspace: string;
  /** Lower-case hex, safe as an object name; equal for equal identities. */
  readonly name: string;
  /** Whether the caller chose it, so that its retries can be recognised. */
  readonly keyed: boolean;
}

/** Parts are length-prefixed, so that no two pairs share an encoding. */
const hashParts = (parts: readonly string[]): string => {
  const hash = crypto.createHash('sha256');
  for (const part of parts) {
    const bytes = Buffer.from(part, 'utf8');
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest().subarray(0, NAME_BYTES).toString('hex');
};

/**
 * Derives a request's identity from the caller's idempotency key, or from
 * `freshId`, a new random id, when the caller sent none. The two never share
 * a name: a caller cannot choose a key that meets a random id.
 */
export const identifyRequest = (
  workspace: string,
  idempotencyKey: string | undefined,
  freshId: string,
): RequestIdentity => {
  const keyed = idempotencyKey !== undefined;
  const origin = keyed ? 'key' : 'fresh';
  const id = keyed ? idempotencyKey : freshId;
  return {workspace, keyed, name: hashParts([origin, workspace, id])};
};

/**
 * Fingerprint of a request's body, so that one key with two bodies is seen.
 *
 * @param parts what makes two requests the same, such as method, path, body
 */
export const fingerprintRequest = (...parts: readonly string[]): string =>
  hashParts(parts);
