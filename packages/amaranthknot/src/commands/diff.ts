/** `amaranthknot diff`: compares a document with the active one. */
import * as configuration from '@amaranthknot/configuration';
import type * as command from '../command.js';
import * as createCommand from '../operator/create-command.js';
import * as activeDocument from '../operator/active-document.js';
import type * as operatorConnection from '../operator/operator-connection.js';
import type * as outcome from '../operator/outcome.js';
import * as check from './check.js';

const HELP = `
  Prints what a document would change in an environment, in the words of the
  file: + added, - removed, ~ changed. Nothing is changed.

  Usage
    $ amaranthknot diff DOC --settings FILE [--environment E] [--json]

  Options
    --settings FILE  settings of any instance; they say where the platform is
    --environment E  the settings' environment by default
    --json           one line of JSON

  Example
    $ amaranthknot diff examples/rostering.toml \\
        --settings examples/settings.toml --environment trial

  Exit codes
    0 compared, equal or not; 1 the document has problems;
    2 wrong command line, or no such file; 3 the platform is out of reach
`;

/** Stands for the active document if there is none. */
const EMPTY: configuration.Document = {
  models: [],
  cascades: [],
  services: [],
  workspaces: [],
  zones: [],
  rollouts: [],
};

const describe = (
  environment: string,
  before: activeDocument.ActiveDocument | undefined,
  after: configuration.Document,
): outcome.Success => {
  const changes = configuration.diffDocuments(before?.document ?? EMPTY, after);
  const generation = before?.generation ?? 0;
  const head = `${environment}, generation ${generation}: ${changes.length} changes`;
  return {
    lines: [head, ...changes.map(configuration.formatChange)],
    json: {environment, generation, changes},
  };
};

/** Creates the command. */
export const createDiff = (
  connect: operatorConnection.Connect,
): command.Command =>
  createCommand.createOperatorCommand(
    {
      summary: 'show what a document would change',
      help: HELP,
      syntax: {inputs: ['DOC'], flags: {}},
      act: async ({connection, environment, given, readFile}) => {
        const [file = ''] = given.inputs;
        const document = check.readDocument(file, readFile);
        if (document.isLeft()) {
          return document;
        }
        const before = await activeDocument.findActive(
          connection.store,
          environment,
        );
        return before.chain(found =>
          document.map(after => describe(environment, found, after)),
        );
      },
    },
    connect,
  );
