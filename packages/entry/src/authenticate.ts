/** Who is calling: workspaces by key digest, operators and peers by key. */
import * as crypto from 'node:crypto';
import type * as configuration from '@amaranthknot/configuration';

/** SHA-256 of a key in lower-case hex. */
export const digestKey = (key: string): string =>
  crypto.createHash('sha256').update(key).digest('hex');

/** Compares two digests without telling by time where they differ. */
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

/**
 * Finds the workspace of a key. Every digest is compared, so that the time
 * taken does not tell which workspace came close.
 */
export const findWorkspace = (
  document: configuration.Document,
  key: string,
): configuration.Workspace | undefined => {
  const digest = digestKey(key);
  let found: configuration.Workspace | undefined;
  for (const workspace of document.workspaces) {
    for (const candidate of workspace.keyDigests) {
      if (equalDigests(digest, candidate)) {
        found = workspace;
      }
    }
  }
  return found;
};
