/**
 * Updates the head of an environment, and finds out the outcome of writes whose
 * answers were lost.
 */
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as configurationHead from './configuration-head.js';

/**
 * Reason why a publication failed, or why its outcome is unknown.
 *
 * - `conflict`: another publication came first; nothing of this one is active.
 *   `generation` is the active one.
 * - `not_found`: there is nothing to promote.
 * - `unavailable`: the platform did not accept it; nothing of it is active.
 * - `unknown`: answers were lost and the outcome could not be found out; read
 *   the head and look for `publication`.
 */
export interface PublishError {
  readonly code: 'conflict' | 'not_found' | 'unavailable' | 'unknown';
  readonly message: string;
  readonly generation?: number;
  readonly publication?: string;
}

/** The generation that a publication made active. */
export interface Publication {
  readonly generation: number;
  readonly digest: string;
}

/** Outcome of a publication. */
export type PublishResult<T> = purify.Either<PublishError, T>;

/**
 * Maximum number of attempts for each call to the platform. A healthy platform
 * answers within milliseconds, so three attempts get past a lost answer or two,
 * while in an outage the operator gets an error soon and does not add to the
 * load.
 */
export const MAX_ATTEMPTS = 3;

/** The error for a publication that lost against another one. */
export const describeConflict = (
  environment: string,
  generation: number | undefined,
): PublishError => ({
  code: 'conflict',
  message:
    `another publication came first: ${environment} is at generation ` +
    `${generation ?? 'unknown'}; look at it and apply again`,
  ...(generation === undefined ? {} : {generation}),
});

/** One conditional update of a head. */
export interface HeadUpdate {
  readonly store: ports.ObjectStore;
  readonly environment: string;
  readonly base: configurationHead.StoredHead | undefined;
  readonly head: configurationHead.Head;
  readonly publication: string;
}

const writeHead = (
  update: HeadUpdate,
): Promise<ports.StoreResult<ports.StoredObject>> =>
  update.base
    ? update.store.update(
        configurationHead.HEAD_KIND,
        update.environment,
        update.head,
        update.base.version,
      )
    : update.store.create(
        configurationHead.HEAD_KIND,
        update.environment,
        update.head,
      );

/**
 * Finds out whether a write without an answer took effect. The head names the
 * latest publications, so this one is among them even if another publication
 * followed already. Returns undefined while only the old head is seen, which
 * may be a stale answer.
 */
const resolveLostWrite = async (
  update: HeadUpdate,
): Promise<PublishResult<boolean> | undefined> => {
  const read = await configurationHead.readHead(
    update.store,
    update.environment,
  );
  const seen = read.orDefault(undefined);
  if (!seen || seen.version <= (update.base?.version ?? 0)) {
    return undefined;
  }
  return seen.head.publications.includes(update.publication)
    ? purify.Right(true)
    : purify.Left(describeConflict(update.environment, seen.head.generation));
};

/**
 * Updates the head.
 *
 * Guards against an answer that is lost after the write took effect: a plain
 * retry would report a conflict with itself, and an operator would apply twice
 * or believe that it failed. The write is conditional on the base version, so
 * repeating it can't apply twice, and after a conflict the head shows whose
 * publication won.
 */
export const updateHead = async (
  update: HeadUpdate,
): Promise<PublishResult<Publication>> => {
  const done = {generation: update.head.generation, digest: update.head.digest};
  let mayHaveWritten = false;
  let message = '';
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const result = await writeHead(update);
    if (result.isRight()) {
      return purify.Right(done);
    }
    const error = result.swap().unsafeCoerce();
    message = error.message;
    mayHaveWritten ||= error.code === 'unknown';
    if (error.code === 'unavailable') {
      continue;
    }
    const resolved = await resolveLostWrite(update);
    if (resolved) {
      return resolved.map(() => done);
    }
    if (!mayHaveWritten) {
      return purify.Left(describeConflict(update.environment, undefined));
    }
  }
  return purify.Left(
    mayHaveWritten
      ? {code: 'unknown', message, publication: update.publication}
      : {code: 'unavailable', message},
  );
};
