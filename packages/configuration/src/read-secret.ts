/** Turns a secret of the settings into its text. */
import * as purify from 'purify-ts';
import * as settings from './settings.js';

/** Why a secret can't be used. */
export interface SecretError {
  readonly path: string;
  readonly code: 'unreadable' | 'too_short';
  readonly message: string;
}

/**
 * Reads a secret; white space around the text of a file is not part of it.
 *
 * @param readFile reads a text file, and throws as `fs.readFileSync` does.
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
            message: `needs ${settings.MIN_SECRET_LENGTH} characters or more`,
          }),
    );
};
