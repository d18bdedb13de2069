/**
 * `amaranthknot promote`: publishes the active document of one environment for
 * another, unchanged.
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

const HELP = `
  Puts in force for one environment what is in force for another, unchanged:
  the digest stays the same. When either environment moves on meanwhile,
  nothing is promoted. Like apply, it refuses to bring back what operators of
  the target took out of use.

  Usage
    $ amaranthknot promote --from E --to E --settings FILE [--wait]

  Options
    --from E         environment where it was tried
    --to E           environment to put it in force for
    --digest D       only this digest, the one that was tried
    --settings FILE  settings of any instance; they say where the platform is
    --bring-back     bring back what is out of use
    --wait           wait until it is in force on all entry instances; the
                     instances are those of the settings' platform
    --wait-ms N      longest wait, ${waitForInstances.DEFAULT_WAIT_MS} by default
    --json           one line of JSON

  Example
    $ amaranthknot promote --from trial --to production \\
        --settings examples/settings.toml

  Exit codes
    0 done; 1 nothing to promote, a conflict, a return refused, or not in force
    everywhere in time; 2 wrong command line; 3 the platform is out of reach,
    or its answer was lost: look at status
`;

const FLAGS = {
  ...waitForInstances.WAIT_FLAGS,
  from: {type: 'string'},
  to: {type: 'string'},
  digest: {type: 'string'},
  bringBack: {type: 'boolean'},
} as const;

type Context = createCommand.OperatorContext<typeof FLAGS>;

/** Active documents of the source and the target environment. */
interface Pair {
  readonly source: activeDocument.ActiveDocument;
  readonly target: activeDocument.ActiveDocument | undefined;
}

const readPair = async (
  {store}: operatorConnection.OperatorConnection,
  from: string,
  to: string,
): Promise<purify.Either<outcome.Failure, Pair>> => {
  const source = await activeDocument.readActive(store, from);
  const target = await activeDocument.findActive(store, to);
  return source.chain(active =>
    target.map(found => ({source: active, target: found})),
  );
};

const promotePair = async (
  context: Context,
  {source, target}: Pair,
  from: string,
  to: string,
): Promise<createCommand.Result> => {
  const {connection, given, showProgress} = context;
  const promoted = await membership.promoteDocument(
    connection.store,
    from,
    to,
    given.flags.digest ?? source.digest,
    {expectedGeneration: target?.generation ?? 0},
  );
  if (promoted.isLeft()) {
    return promoted.mapLeft(activeDocument.describePublishError);
  }
  const {generation, digest} = promoted.unsafeCoerce();
  const waited = await waitForInstances.waitForInstances(connection, {
    environment: to,
    generation,
    flags: given.flags,
    showProgress,
  });
  const changes = target
    ? configuration.diffDocuments(target.document, source.document)
    : [];
  return waited.map(instances => ({
    lines: [
      ...changes.map(configuration.formatChange),
      `${to}: generation ${generation}, digest ${digest}, as in ${from}`,
      ...waitForInstances.formatWaitResult(instances),
    ],
    json: {from, to, generation, digest, changes, instances},
  }));
};

const act = async (context: Context): Promise<createCommand.Result> => {
  const {from, to, bringBack} = context.given.flags;
  if (from === undefined || to === undefined || from === to) {
    const message = 'needs --from E and --to E, two environments; see --help';
    return purify.Left(outcome.createFailure('usage', message));
  }
  const read = await readPair(context.connection, from, to);
  const allowed = read.chain(({source, target}) =>
    checkReactivations.checkReactivations(
      target?.document,
      source.document,
      bringBack,
    ),
  );
  return allowed.isLeft()
    ? allowed
    : promotePair(context, read.unsafeCoerce(), from, to);
};

/** Creates the command. */
export const createPromote = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'put what was tried in one environment in force for another',
      help: HELP,
      syntax: {inputs: [], flags: FLAGS},
      act,
    },
    connect,
  );
