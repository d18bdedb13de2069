/** Moves the head of an environment, and settles lost answers. */
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as configurationHead from './configuration-head.js';

/**
 * Why nothing, or perhaps something, was put in force.
 *
 * - `conflict`: another publication came first; nothing of this one is in
 *   force. `generation` is the one that is.
 * - `not_found`: there is nothing to promote.
 * - `unavailable`: the platform did not take it; nothing is in force.
 * - `unknown`: answers were lost and could not be settled; read the head
 *   and look for `publication`.
 */
export interface PublishError {
  readonly code: 'conflict' | 'not_found' | 'unavailable' | 'unknown';
  readonly message: string;
  readonly generation?: number;
  readonly publication?: string;
}

/** What was put in force. */
export interface Publication {
  readonly generation: number;
  readonly digest: string;
}

/** Outcome of a publication. */
export type PublishResult<T> = purify.Either<PublishError, T>;

/**
 * Tries for each call to the platform. Answers of a healthy platform take
 * milliseconds, so three tries ride over a lost answer or two, while an
 * operator in an outage is told at once instead of adding to the load.
 */
export const MAX_ATTEMPTS = 3;

/** The error for a publication that another one came before. */
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

/** One conditional move of a head. */
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
 * Finds out whether a write without an answer took effect: the head names the
 * latest publications, so ours is among them also when another publication
 * already followed. Undefined while only the old head is seen, which may be a
 * stale answer.
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
 * Moves the head. The failure guarded against is an answer lost after the
 * write took effect: a plain retry would then report a conflict with itself,
 * and an operator would apply twice or believe it failed. The write is
 * conditional on the base version, so repeating it can not apply twice, and
 * after a conflict the head tells whose publication won.
 */
export const updateHead = async (
  update: HeadUpdate,
): Promise<PublishResult<Publication>> => {
  const done = {generation: update.head.generation, digest: update.head.digest};
  let mayHaveWritten = false;
  let message = '';
  for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
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
    const settled = await resolveLostWrite(update);
    if (settled) {
      return settled.map(() => done);
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
