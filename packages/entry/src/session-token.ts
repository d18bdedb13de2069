/**
 * Session tokens: each answer returns a token that carries the session's
 * versions, signed with a key that all instances have. Any instance can then
 * keep a session on its versions without shared state.
 */
import type * as crypto from 'node:crypto';
import * as jsonwebtoken from 'jsonwebtoken';
import * as purify from 'purify-ts';
import * as zod from 'zod';

/** Versions that a session is pinned to, by model. */
export type SessionPins = Readonly<Record<string, string>>;

/** Contents of a token. */
export interface Session {
  readonly workspace: string;
  readonly id: string;
  readonly pins: SessionPins;
}

/** Reason for refusing a token; sent to callers. */
export type SessionTokenError = 'malformed' | 'expired' | 'other_workspace';

/** Lifetime of a token in seconds: a working day and the following night. */
export const DEFAULT_TOKEN_LIFETIME_S = 24 * 60 * 60;

const ALGORITHM = 'HS256';

const CLAIMS = zod.object({
  ws: zod.string(),
  sid: zod.string(),
  pins: zod.record(zod.string(), zod.string()),
  exp: zod.number(),
});

/**
 * Signs a token. The key is a key object, because the library would try on each
 * request whether a string is a private key.
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
 * Verifies a token, which must belong to `workspace` and be at most `lifetimeS`
 * seconds old, even if it was signed for longer.
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
