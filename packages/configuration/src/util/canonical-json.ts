/** Formats JSON values canonically and computes their digests. */
import * as crypto from 'node:crypto';

/**
 * Formats a JSON value with sorted keys and no white space, so that equal
 * values give equal texts. Undefined members are omitted.
 */
export const formatCanonicalJson = (value: unknown): string => {
  if (typeof value !== 'object' || value === null) {
    return JSON.stringify(value);
  }
  if (Array.isArray(value)) {
    return `[${value.map(formatCanonicalJson).join(',')}]`;
  }
  const members = Object.entries(value)
    .filter(([, member]) => member !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, member]) => {
      return `${JSON.stringify(key)}:${formatCanonicalJson(member)}`;
    });
  return `{${members.join(',')}}`;
};

/** Returns the SHA-256 of a text in lower-case hex. */
export const digestText = (text: string): string =>
  crypto.createHash('sha256').update(text).digest('hex');

/** Returns the SHA-256 of a value's canonical JSON in lower-case hex. */
export const digestValue = (value: unknown): string =>
  digestText(formatCanonicalJson(value));
