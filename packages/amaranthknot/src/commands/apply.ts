/**
 * `amaranthknot apply`: publishes a document as the active one of an environment.
 *
 * The publication is conditional, so that it doesn't overwrite a document that
 * was published meanwhile.
 */
import * as configuration from '@amaranthknot/configuration';
import * as membership from '@amaranthknot/membership';
import * as purify from 'purify-ts';
import type * as command from '../command.js';
import * as createCommand from '../operator/create-command.js';
import * as activeDocument from '../operator/active-document.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import * as outcome from '../operator/outcome.js';
import * as checkReactivations from '../operator/check-reactivations.js';
import * as waitForInstances from '../operator/wait-for-instances.js';
import * as check from './check.js';

const HELP = `
  Checks a document and puts it in force for an environment, whole or not at
  all. When another publication comes first, nothing is put in force. It
  refuses to bring back what operators took out of use: a zone that is out, a
  version that is withdrawn, a roll-out that is stopped.

  Usage
    $ amaranthknot apply DOC --settings FILE [--environment E] [--wait]

  Options
    --settings FILE  settings of any instance; they say where the platform is
    --environment E  the settings' environment by default
    --generation N   only when generation N is in force; 0 for none yet
    --bring-back     bring back what is out of use
    --wait           wait until it is in force on all entry instances
    --wait-ms N      longest wait, ${waitForInstances.DEFAULT_WAIT_MS} by default
    --json           one line of JSON

  Example
    $ amaranthknot apply examples/rostering.toml \\
        --settings examples/settings.toml --environment trial --wait

  Exit codes
    0 done; 1 problems, a conflict, a return refused, or not in force
    everywhere in time; 2 wrong command line, or no such file; 3 the platform
    is out of reach, or its answer was lost: look at status
`;

const FLAGS = {
  ...waitForInstances.WAIT_FLAGS,
  generation: {type: 'number'},
  bringBack: {type: 'boolean'},
} as const;

type Context = createCommand.OperatorContext<typeof FLAGS>;

interface Applied {
  readonly publication: membership.Publication;
  readonly changes: readonly configuration.Change[];
}

const publish = async (
  context: Context,
  document: configuration.Document,
  before: activeDocument.ActiveDocument | undefined,
): Promise<purify.Either<outcome.Failure, Applied>> => {
  const {connection, environment, given} = context;
  const expected = given.flags.generation ?? before?.generation ?? 0;
  const published = await membership.publishDocument(
    connection.store,
    environment,
    document,
    expected,
  );
  const changes =
    before === undefined
      ? []
      : configuration.diffDocuments(before.document, document);
  return published
    .mapLeft(activeDocument.describePublishError)
    .map(publication => ({publication, changes}));
};

const finish = async (
  {connection, environment, given, showProgress}: Context,
  {publication, changes}: Applied,
): Promise<createCommand.Result> => {
  const {generation, digest} = publication;
  const waited = await waitForInstances.waitForInstances(connection, {
    environment,
    generation,
    flags: given.flags,
    showProgress,
  });
  return waited.map(instances => ({
    lines: [
      ...changes.map(configuration.formatChange),
      `${environment}: generation ${generation}, digest ${digest}`,
      ...waitForInstances.formatWaitResult(instances),
    ],
    json: {environment, generation, digest, changes, instances},
  }));
};

const act = async (context: Context): Promise<createCommand.Result> => {
  const {connection, environment, given, readFile} = context;
  const [file = ''] = given.inputs;
  const document = check.readDocument(file, readFile);
  if (document.isLeft()) {
    return document;
  }
  const after = document.unsafeCoerce();
  const before = await activeDocument.findActive(connection.store, environment);
  const allowed = before.chain(found =>
    checkReactivations.checkReactivations(
      found?.document,
      after,
      given.flags.bringBack,
    ),
  );
  if (allowed.isLeft()) {
    return allowed;
  }
  const applied = await publish(context, after, before.orDefault(undefined));
  return applied.isLeft() ? applied : finish(context, applied.unsafeCoerce());
};

/** Creates the command. */
export const createApply = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'put a document in force for an environment',
      help: HELP,
      syntax: {inputs: ['DOC'], flags: FLAGS},
      act,
    },
    connect,
  );
