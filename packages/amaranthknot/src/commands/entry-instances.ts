/** `amaranthknot entry-instances`: lists the platform's entry instances. */
import type * as ports from '@amaranthknot/ports';
import type * as command from '../command.js';
import * as createCommand from '../operator/create-command.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import type * as outcome from '../operator/outcome.js';
import * as waitForInstances from '../operator/wait-for-instances.js';

const HELP = `
  Lists the entry instances that the platform knows, which lags by seconds:
  id, availability zone, address, and whether each is leaving.

  Usage
    $ amaranthknot entry-instances --settings FILE [--zone NAME] [--json]

  Options
    --settings FILE  settings of any instance; they say where the platform is
    --zone NAME      instances of this zone only
    --json           one line of JSON

  Example
    $ amaranthknot entry-instances --settings examples/settings.toml

  Exit codes
    0 listed; 2 wrong command line; 3 the platform is out of reach
`;

const describe = (
  listed: readonly ports.ListedInstance[],
): outcome.Success => ({
  lines: listed.map(
    ({id, zone, address, state}) => `${id} ${zone} ${address} ${state}`,
  ),
  json: {
    instances: listed.map(({id, zone, address, state}) => ({
      id,
      zone,
      address,
      state,
    })),
  },
});

/** Creates the command. */
export const createEntryInstances = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'list the entry instances',
      help: HELP,
      syntax: {inputs: [], flags: {zone: {type: 'string'}}},
      act: async ({connection, given}) => {
        const {zone} = given.flags;
        const listed = await waitForInstances.listEntryInstances(
          connection.instances,
        );
        return listed
          .map(all =>
            all.filter(each => zone === undefined || each.zone === zone),
          )
          .map(describe);
      },
    },
    connect,
  );
