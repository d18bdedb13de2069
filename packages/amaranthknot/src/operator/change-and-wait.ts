/** Changes what is in force by an edit, and waits for it if asked to. */
import * as configuration from '@amaranthknot/configuration';
import type * as createCommand from './create-command.js';
import * as inForce from './in-force.js';
import * as waits from './wait-everywhere.js';

/** Runs an edit for a command that takes `WAIT_FLAGS`. */
export const changeAndWait = async (
  context: createCommand.OperatorContext<typeof waits.WAIT_FLAGS>,
  edit: inForce.Edit,
): Promise<createCommand.Result> => {
  const {operations: reached, environment, given, showProgress} = context;
  const changed = await inForce.changeDocument(reached, environment, edit);
  if (changed.isLeft()) {
    return changed;
  }
  const {generation, digest, changes} = changed.unsafeCoerce();
  const waited = await waits.waitEverywhere(reached, {
    environment,
    generation,
    choice: given.flags,
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
      ...waits.formatWaited(instances),
    ],
    json: {environment, generation, digest, changes, instances},
  }));
};
