/** Reads what is in force for an environment, and changes it. */
import * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as operatorConnection from './operator-connection.js';
import * as outcome from './outcome.js';

/** A document in force. */
export interface ActiveDocument {
  readonly generation: number;
  readonly digest: string;
  readonly document: configuration.Document;
}

/**
 * Tries of a change that others come before. Operators' commands and duties
 * write about once a second together, and one try takes some tens of
 * milliseconds, so five lost races in a row mean that something is wrong.
 */
const MAX_ATTEMPTS = 5;

const describeStoreError = (error: ports.StoreError): outcome.Failure =>
  outcome.createFailure('unavailable', `the object API: ${error.message}`);

/** Turns an error of a publication into a failure. */
export const describePublishError = (
  error: membership.PublishError,
): outcome.Failure => {
  switch (error.code) {
    case 'conflict':
      return outcome.createFailure('conflict', error.message);
    case 'not_found':
      return outcome.createFailure('not_found', error.message);
    case 'unavailable':
      return outcome.createFailure(
        'unavailable',
        `nothing was put in force: ${error.message}`,
      );
    case 'unknown': {
      const message = `it may or may not be in force, look at status: ${error.message}`;
      const {publication} = error;
      return outcome.createFailure('unknown_outcome', message, {publication});
    }
  }
};

const readDocument = async (
  store: ports.ObjectStore,
  {generation, digest}: membership.Head,
): Promise<purify.Either<outcome.Failure, ActiveDocument>> => {
  const read = await membership.readDocument(store, digest);
  return read
    .mapLeft(describeStoreError)
    .map(document => ({generation, digest, document}));
};

/** Reads what is in force; nothing when nothing was ever published. */
export const findActive = async (
  store: ports.ObjectStore,
  environment: string,
): Promise<purify.Either<outcome.Failure, ActiveDocument | undefined>> => {
  const head = await membership.readHead(store, environment);
  const found = head.orDefault(undefined)?.head;
  return found === undefined
    ? head.mapLeft(describeStoreError).map(() => undefined)
    : readDocument(store, found);
};

/** Names environments that have something in force, to find a misspelt one. */
const describeNoneActive = async (
  store: ports.ObjectStore,
  environment: string,
): Promise<outcome.Failure> => {
  const heads = await store.list(membership.HEAD_KIND);
  const names = heads
    .map(({objects}) => objects.map(({name}) => name))
    .orDefault([]);
  const nearest = configuration.findNearest(environment, names);
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  const message = `nothing is in force for ${environment}${hint}`;
  return outcome.createFailure('not_found', message, {nearest});
};

/** Reads what is in force; a failure when nothing was ever published. */
export const readActive = async (
  store: ports.ObjectStore,
  environment: string,
): Promise<purify.Either<outcome.Failure, ActiveDocument>> => {
  const found = await findActive(store, environment);
  if (found.isRight() && found.extract() === undefined) {
    return purify.Left(await describeNoneActive(store, environment));
  }
  return found as purify.Either<outcome.Failure, ActiveDocument>;
};

/** A change of a document, or why it can't be made. */
export type DocumentEdit = (
  document: configuration.Document,
) => purify.Either<outcome.Failure, configuration.Document>;

/** What a change came to. */
export interface AppliedChange {
  readonly generation: number;
  readonly digest: string;
  readonly changes: readonly configuration.Change[];
}

const tryChange = async (
  reached: Pick<operatorConnection.OperatorConnection, 'store'>,
  environment: string,
  edit: DocumentEdit,
): Promise<purify.Either<outcome.Failure, AppliedChange>> => {
  const read = await readActive(reached.store, environment);
  const edited = read.chain(({document}) =>
    edit(document).chain(after =>
      configuration
        .checkDocument(after, environment)
        .mapLeft(found => outcome.describeProblems('refused', found)),
    ),
  );
  if (read.isLeft() || edited.isLeft()) {
    return read.chain(() => edited) as purify.Either<outcome.Failure, never>;
  }
  const {document, generation} = read.unsafeCoerce();
  const after = edited.unsafeCoerce();
  const published = await membership.publishDocument(
    reached.store,
    environment,
    after,
    generation,
  );
  return published.mapLeft(describePublishError).map(publication => ({
    ...publication,
    changes: configuration.diffDocuments(document, after),
  }));
};

/**
 * Reads, edits and publishes, again when another publication came first.
 *
 * Failure guarded against: the platform may answer a read with an older
 * document, in which, say, the zone is out already. So even an edit without
 * effect is published: the conditional update fails on an old generation. A
 * lost answer is settled by doing it again, since edits set states.
 */
export const changeDocument = async (
  reached: Pick<operatorConnection.OperatorConnection, 'store'>,
  environment: string,
  edit: DocumentEdit,
): Promise<purify.Either<outcome.Failure, AppliedChange>> => {
  let result = await tryChange(reached, environment, edit);
  for (let tries = 1; tries < MAX_ATTEMPTS; tries++) {
    const code = result.swap().map(failure => failure.code);
    const mayRepeat = code
      .map(found => found === 'conflict' || found === 'unknown_outcome')
      .orDefault(false);
    if (!mayRepeat) {
      return result;
    }
    result = await tryChange(reached, environment, edit);
  }
  return result;
};
