/** `amaranthknot zone`: sets the state of an availability zone. */
import type * as configuration from '@amaranthknot/configuration';
import * as purify from 'purify-ts';
import type * as command from '../command.js';
import * as changeAndWait from '../operator/change-and-wait.js';
import * as createCommand from '../operator/create-command.js';
import type * as activeDocument from '../operator/active-document.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import * as outcome from '../operator/outcome.js';
import * as waitForInstances from '../operator/wait-for-instances.js';

const HELP = `
  Takes an availability zone out, so that it gets no new work, or brings it
  back in. It changes this one state of what is in force, again when another
  publication comes first. The last zone that is in can't be taken out.

  Usage
    $ amaranthknot zone out NAME --settings FILE [--environment E] [--wait]
    $ amaranthknot zone in NAME --settings FILE [--environment E] [--wait]

  Options
    --settings FILE  settings of any instance; they say where the platform is
    --environment E  the settings' environment by default
    --wait           wait until it is in force on all entry instances
    --wait-ms N      longest wait, ${waitForInstances.DEFAULT_WAIT_MS} by default
    --json           one line of JSON

  Example
    $ amaranthknot zone out bizerte --settings examples/settings.toml --wait

  Exit codes
    0 done; 1 refused, a conflict, or not in force everywhere in time; 2 wrong
    command line, or no such zone; 3 the platform is out of reach, or its
    answer was lost: look at status
`;

const ACTIONS: readonly string[] = ['in', 'out'];

/** Creates an edit that sets the state of a zone. */
export const setZoneState =
  (name: string, state: configuration.ZoneState): activeDocument.DocumentEdit =>
  document => {
    const names = document.zones.map(zone => zone.name);
    if (!names.includes(name)) {
      return purify.Left(outcome.describeUnknownName('zone', name, names));
    }
    const zones = document.zones.map(zone =>
      zone.name === name ? {...zone, state} : zone,
    );
    return purify.Right({...document, zones});
  };

/** Creates the command. */
export const createZone = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'take an availability zone out, or bring it in',
      help: HELP,
      syntax: {
        inputs: ['out or in', 'NAME'],
        flags: waitForInstances.WAIT_FLAGS,
      },
      act: async context => {
        const [action = '', name = ''] = context.given.inputs;
        if (action !== 'in' && action !== 'out') {
          return purify.Left(
            outcome.describeUnknownName('action', action, ACTIONS),
          );
        }
        return changeAndWait.changeAndWait(context, setZoneState(name, action));
      },
    },
    connect,
  );
