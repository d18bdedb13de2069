/** Authentication of callers, operators and peers by their keys. */
import * as crypto from 'node:crypto';
import type * as configuration from '@amaranthknot/configuration';

/** SHA-256 of a key in lower-case hex. */
export const digestKey = (key: string): string =>
  crypto.createHash('sha256').update(key).digest('hex');

/** Compares two hex digests in constant time. */
export const equalDigests = (a: string, b: string): boolean => {
  const left = Buffer.from(a, 'hex');
  const right = Buffer.from(b, 'hex');
  return left.length === right.length && crypto.timingSafeEqual(left, right);
};

/** The key of an `Authorization: Bearer` header. */
export const readBearerKey = (
  header: string | undefined,
): string | undefined => {
  const match = /^Bearer +(\S+)$/i.exec(header ?? '');
  return match?.[1];
};

type Index = ReadonlyMap<string, configuration.Workspace>;

const indexes = new WeakMap<configuration.Document, Index>();

const createIndex = (document: configuration.Document): Index =>
  new Map(
    document.workspaces.flatMap(workspace =>
      workspace.keyDigests.map(digest => [digest, workspace] as const),
    ),
  );

/** Builds the index once per document instead of once per request. */
const findIndex = (document: configuration.Document): Index => {
  const known = indexes.get(document);
  if (known) {
    return known;
  }
  const index = createIndex(document);
  indexes.set(document, index);
  return index;
};

/**
 * Finds the workspace of a key. The timing of the look-up may reveal something
 * about the SHA-256 digest of a guess, but that does not help to guess a
 * similar key. The digest found is then compared in constant time.
 */
export const findWorkspace = (
  document: configuration.Document,
  key: string,
): configuration.Workspace | undefined => {
  const digest = digestKey(key);
  const found = findIndex(document).get(digest);
  return found?.keyDigests.some(candidate => equalDigests(digest, candidate))
    ? found
    : undefined;
};
