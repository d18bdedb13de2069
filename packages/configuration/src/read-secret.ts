/** Reads the text of a secret that is configured inline or as a file. */
import * as purify from 'purify-ts';
import * as settings from './settings.js';

/** Failure to read a secret file, or a secret that is too short. */
export interface SecretError {
  readonly path: string;
  readonly code: 'unreadable' | 'too_short';
  readonly message: string;
}

/**
 * Reads a secret. White space at both ends of a file is removed.
 *
 * @param readFile reads a text file; throws as `fs.readFileSync` does.
 */
export const readSecret = (
  secret: settings.Secret,
  readFile: (path: string) => string,
): purify.Either<SecretError, string> => {
  if (secret.kind === 'text') {
    return purify.Right(secret.text);
  }
  const {path} = secret;
  return purify.Either.encase(() => readFile(path).trim())
    .mapLeft(error => ({
      path,
      code: 'unreadable' as const,
      message: error.message,
    }))
    .chain(text =>
      text.length >= settings.MIN_SECRET_LENGTH
        ? purify.Right(text)
        : purify.Left({
            path,
            code: 'too_short' as const,
            message: `needs ${settings.MIN_SECRET_LENGTH} characters or more, got ${text.length}`,
          }),
    );
};
