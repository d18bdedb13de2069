/**
 * Session tokens: the first answer returns a token that carries the session's
 * versions, signed with a key that all instances hold, so that any instance
 * keeps a session on its version without shared state.
 */
import type * as crypto from 'node:crypto';
import * as jsonwebtoken from 'jsonwebtoken';
import * as purify from 'purify-ts';
import * as zod from 'zod';

/** Versions that a session keeps, by model. */
export type SessionPins = Readonly<Record<string, string>>;

/** What a token says. */
export interface Session {
  readonly workspace: string;
  readonly id: string;
  readonly pins: SessionPins;
}

/** Why a token is refused. */
export type SessionTokenError = 'malformed' | 'expired' | 'other_workspace';

/** Life of a token in seconds: a working day and the night after it. */
export const DEFAULT_TOKEN_LIFETIME_S = 24 * 60 * 60;

const ALGORITHM = 'HS256';

const CLAIMS = zod.object({
  ws: zod.string(),
  sid: zod.string(),
  pins: zod.record(zod.string(), zod.string()),
  exp: zod.number(),
});

/**
 * Signs a session. The key is a key object: of a string the library first
 * tries, at each request, whether it is a private key.
 */
export const signSession = (
  session: Session,
  key: crypto.KeyObject,
  lifetimeS = DEFAULT_TOKEN_LIFETIME_S,
): string =>
  jsonwebtoken.default.sign(
    {ws: session.workspace, sid: session.id, pins: session.pins},
    key,
    {algorithm: ALGORITHM, expiresIn: lifetimeS},
  );

/**
 * Reads a token that must belong to `workspace` and be at most `seconds` old,
 * also when it was signed for longer.
 */
export const verifySession = (
  token: string,
  key: crypto.KeyObject,
  workspace: string,
  lifetimeS = DEFAULT_TOKEN_LIFETIME_S,
): purify.Either<SessionTokenError, Session> => {
  try {
    const claims = CLAIMS.parse(
      jsonwebtoken.default.verify(token, key, {
        algorithms: [ALGORITHM],
        maxAge: lifetimeS,
      }),
    );
    if (claims.ws !== workspace) {
      return purify.Left('other_workspace');
    }
    return purify.Right({workspace, id: claims.sid, pins: claims.pins});
  } catch (error) {
    const name = error instanceof Error ? error.name : '';
    return purify.Left(name === 'TokenExpiredError' ? 'expired' : 'malformed');
  }
};
