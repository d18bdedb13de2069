/** `amaranthknot status`: shows the active document, and which instances have it. */
import * as membership from '@amaranthknot/membership';
import type * as command from '../command.js';
import * as createCommand from '../operator/create-command.js';
import * as activeDocument from '../operator/active-document.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import type * as outcome from '../operator/outcome.js';
import * as waitForInstances from '../operator/wait-for-instances.js';

const HELP = `
  Prints what is in force for an environment, its availability zones and
  roll-outs, and which generation each entry instance works with.

  Usage
    $ amaranthknot status --settings FILE [--environment E] [--json]

  Options
    --settings FILE  settings of any instance; they say where the platform is
    --environment E  the settings' environment by default
    --json           one line of JSON

  Example
    $ amaranthknot status --settings examples/settings.toml

  Exit codes
    0 shown; 1 nothing is in force; 2 wrong command line; 3 the platform is out
    of reach
`;

const describe = (
  environment: string,
  {generation, digest, document}: activeDocument.ActiveDocument,
  reports: readonly membership.GenerationReport[],
): outcome.Success => {
  const {zones, rollouts} = document;
  const current = reports.filter(report => report.generation === generation);
  return {
    lines: [
      `${environment}: generation ${generation}, digest ${digest}`,
      `zones: ${zones.map(({name, state}) => `${name} ${state}`).join(', ')}`,
      ...rollouts.map(
        ({model, from, to, state}) =>
          `roll-out of ${model}: ${from} -> ${to}, ${state}`,
      ),
      `in force on ${current.length} of ${reports.length} instances`,
      ...reports.map(waitForInstances.formatReport),
    ],
    json: {
      environment,
      generation,
      digest,
      zones,
      rollouts,
      instances: reports,
    },
  };
};

/** Creates the command. */
export const createStatus = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'show what is in force, and on which instances',
      help: HELP,
      syntax: {inputs: [], flags: {}},
      act: async ({connection, environment, showProgress}) => {
        const read = await activeDocument.readActive(
          connection.store,
          environment,
        );
        const listed = await waitForInstances.listEntryInstances(
          connection.instances,
        );
        const instances = listed.orDefault([]);
        showProgress(`asking ${instances.length} instances`);
        const reports = await membership.collectGenerations(
          connection.transport,
          instances,
          environment,
        );
        return read.chain(found =>
          listed.map(() => describe(environment, found, reports)),
        );
      },
    },
    connect,
  );
