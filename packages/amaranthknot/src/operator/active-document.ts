/**
 * Reads and changes the active document of an environment.
 *
 * A change is a conditional update of the generation that was read, so that
 * operators and rollout tasks that write at the same time lose no change.
 */
import * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as operatorConnection from './operator-connection.js';
import * as outcome from './outcome.js';

/** The active document of an environment, with its generation and digest. */
export interface ActiveDocument {
  readonly generation: number;
  readonly digest: string;
  readonly document: configuration.Document;
}

/**
 * Maximum number of attempts of a change that conflicts with others. Commands
 * and leased tasks together write about once a second, and one attempt takes
 * tens of milliseconds, so five consecutive conflicts indicate a fault.
 */
const MAX_ATTEMPTS = 5;

const describeStoreError = (error: ports.StoreError): outcome.Failure =>
  outcome.createFailure('unavailable', `the object API: ${error.message}`);

/** Converts an error of a publication into a command's failure. */
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

/** Reads the active document; undefined if none was ever published. */
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

/**
 * Failure for an environment without an active document. Suggests the nearest
 * name that has one, for a misspelt environment.
 */
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

/** Reads the active document; `not_found` if none was ever published. */
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

/** Changes a document; Left if the change can't be made. */
export type DocumentEdit = (
  document: configuration.Document,
) => purify.Either<outcome.Failure, configuration.Document>;

/** A change that was published, and its generation. */
export interface AppliedChange {
  readonly generation: number;
  readonly digest: string;
  readonly changes: readonly configuration.Change[];
}

const tryChange = async (
  connection: Pick<operatorConnection.OperatorConnection, 'store'>,
  environment: string,
  edit: DocumentEdit,
): Promise<purify.Either<outcome.Failure, AppliedChange>> => {
  const read = await readActive(connection.store, environment);
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
    connection.store,
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
 * Reads, edits and publishes the active document. Repeats this after a conflict
 * with another publication, `MAX_ATTEMPTS` times in all.
 *
 * The platform may answer a read with an older document, to which the edit was
 * applied already, such as a zone that is out. An edit without effect is
 * therefore published too: the conditional update fails for an old generation.
 * A lost answer is repeated as well, since edits set states and are idempotent.
 */
export const changeDocument = async (
  connection: Pick<operatorConnection.OperatorConnection, 'store'>,
  environment: string,
  edit: DocumentEdit,
): Promise<purify.Either<outcome.Failure, AppliedChange>> => {
  let result = await tryChange(connection, environment, edit);
  for (let attempts = 1; attempts < MAX_ATTEMPTS; attempts++) {
    const code = result.swap().map(failure => failure.code);
    const isRepeatable = code
      .map(found => found === 'conflict' || found === 'unknown_outcome')
      .orDefault(false);
    if (!isRepeatable) {
      return result;
    }
    result = await tryChange(connection, environment, edit);
  }
  return result;
};
