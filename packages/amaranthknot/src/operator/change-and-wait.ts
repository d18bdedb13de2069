/** Edits the active document and, with `--wait`, waits until it is active. */
import * as configuration from '@amaranthknot/configuration';
import type * as createCommand from './create-command.js';
import * as activeDocument from './active-document.js';
import * as waitForInstances from './wait-for-instances.js';

/** Runs an edit for a command with `WAIT_FLAGS`, and formats its result. */
export const changeAndWait = async (
  context: createCommand.OperatorContext<typeof waitForInstances.WAIT_FLAGS>,
  edit: activeDocument.DocumentEdit,
): Promise<createCommand.Result> => {
  const {connection, environment, given, showProgress} = context;
  const changed = await activeDocument.changeDocument(
    connection,
    environment,
    edit,
  );
  if (changed.isLeft()) {
    return changed;
  }
  const {generation, digest, changes} = changed.unsafeCoerce();
  const waited = await waitForInstances.waitForInstances(connection, {
    environment,
    generation,
    flags: given.flags,
    showProgress,
  });
  const done =
    changes.length === 0
      ? ['nothing to change']
      : changes.map(configuration.formatChange);
  return waited.map(instances => ({
    lines: [
      ...done,
      `${environment}: generation ${generation}`,
      ...waitForInstances.formatWaitResult(instances),
    ],
    json: {environment, generation, digest, changes, instances},
  }));
};
