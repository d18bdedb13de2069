/** `amaranthknot rollout`: shows, pauses, resumes or withdraws rollouts. */
import type * as configuration from '@amaranthknot/configuration';
import * as purify from 'purify-ts';
import type * as command from '../command.js';
import * as changeAndWait from '../operator/change-and-wait.js';
import * as createCommand from '../operator/create-command.js';
import * as activeDocument from '../operator/active-document.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import * as outcome from '../operator/outcome.js';
import * as waitForInstances from '../operator/wait-for-instances.js';

const HELP = `
  Shows what the document in force asks of roll-outs, or changes it, again when
  another publication comes first.

    status    lists the roll-outs, or one
    pause     no more sessions than now get the new version
    resume    the roll-out goes on
    withdraw  the new version gets no new work; its sessions move back

  withdraw also withdraws the version itself, with the old one as successor
  (and as default, where the new one was that), so that it holds after the
  roll-out is taken from the document.

  Usage
    $ amaranthknot rollout status [MODEL] --settings FILE [--environment E]
    $ amaranthknot rollout pause|resume|withdraw MODEL --settings FILE [--wait]

  Options
    --settings FILE  settings of any instance; they say where the platform is
    --environment E  the settings' environment by default
    --wait           wait until it is in force on all entry instances
    --wait-ms N      longest wait, ${waitForInstances.DEFAULT_WAIT_MS} by default
    --json           one line of JSON

  Example
    $ amaranthknot rollout withdraw rota-large \\
        --settings examples/settings.toml --wait

  Exit codes
    0 done; 1 refused, a conflict, or not in force everywhere in time; 2 wrong
    command line, or no such roll-out; 3 the platform is out of reach, or its
    answer was lost: look at status
`;

const STATES: Readonly<Record<string, configuration.RolloutState>> = {
  pause: 'paused',
  resume: 'running',
  withdraw: 'withdrawn',
};

const ACTIONS: readonly string[] = ['status', ...Object.keys(STATES)];

type Document = configuration.Document;

const findRollout = (
  document: Document,
  model: string,
): purify.Either<outcome.Failure, configuration.Rollout> => {
  const names = document.rollouts.map(rollout => rollout.model);
  const found = document.rollouts.find(rollout => rollout.model === model);
  return found === undefined
    ? purify.Left(outcome.describeUnknownName('roll-out', model, names))
    : purify.Right(found);
};

/** Withdraws the new version of a model, with the old one as its successor. */
const withdrawVersion = (
  model: configuration.Model,
  {from, to}: configuration.Rollout,
): configuration.Model => ({
  ...model,
  defaultVersion: model.defaultVersion === to ? from : model.defaultVersion,
  versions: model.versions.map(version =>
    version.name === to
      ? {...version, state: 'withdrawn', successor: from}
      : version,
  ),
});

/**
 * Creates an edit that sets the state of a rollout. `withdrawn` also withdraws
 * the new version, so that it stays withdrawn after the rollout is removed.
 */
export const setRolloutState =
  (
    model: string,
    state: configuration.RolloutState,
  ): activeDocument.DocumentEdit =>
  document =>
    findRollout(document, model).map(found => ({
      ...document,
      models: document.models.map(each =>
        state === 'withdrawn' && each.name === model
          ? withdrawVersion(each, found)
          : each,
      ),
      rollouts: document.rollouts.map(rollout =>
        rollout.model === model ? {...rollout, state} : rollout,
      ),
    }));

const formatRollout = (rollout: configuration.Rollout): string =>
  `  ${rollout.model}: ${rollout.from} -> ${rollout.to}, ${rollout.state}, ` +
  `steps ${rollout.steps.join(', ')}`;

const showStatus = async (
  {
    connection,
    environment,
  }: createCommand.OperatorContext<typeof waitForInstances.WAIT_FLAGS>,
  model: string | undefined,
): Promise<createCommand.Result> => {
  const read = await activeDocument.readActive(connection.store, environment);
  return read.chain(({document, generation}) => {
    const shown =
      model === undefined
        ? purify.Right(document.rollouts)
        : findRollout(document, model).map(found => [found]);
    return shown.map(rollouts => ({
      lines: [
        `${environment}, generation ${generation}: ${rollouts.length} roll-outs`,
        ...rollouts.map(formatRollout),
      ],
      json: {environment, generation, rollouts},
    }));
  });
};

const act = async (
  context: createCommand.OperatorContext<typeof waitForInstances.WAIT_FLAGS>,
): Promise<createCommand.Result> => {
  const [action = '', model] = context.given.inputs;
  if (action === 'status') {
    return showStatus(context, model);
  }
  const state = Object.hasOwn(STATES, action) ? STATES[action] : undefined;
  if (state === undefined) {
    return purify.Left(outcome.describeUnknownName('action', action, ACTIONS));
  }
  if (model === undefined) {
    return purify.Left(
      outcome.createFailure('usage', 'needs MODEL; see --help'),
    );
  }
  return changeAndWait.changeAndWait(context, setRolloutState(model, state));
};

/** Creates the command. */
export const createRollout = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'show roll-outs, and pause, resume or withdraw one',
      help: HELP,
      syntax: {
        inputs: ['an action', '[MODEL]'],
        flags: waitForInstances.WAIT_FLAGS,
      },
      act,
    },
    connect,
  );
