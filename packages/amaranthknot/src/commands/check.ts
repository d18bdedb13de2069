/** `amaranthknot check`: checks an environment document offline. */
import * as configuration from '@amaranthknot/configuration';
import type * as command from '../command.js';
import * as createCommand from '../operator/create-command.js';
import * as operatorConnection from '../operator/operator-connection.js';
import * as outcome from '../operator/outcome.js';

const HELP = `
  Checks an environment document and prints all its problems, each with file,
  line, key, code and the nearest valid name. It reaches nothing but the file.

  Usage
    $ amaranthknot check DOC [--json]

  Options
    --json  one line of JSON

  Example
    $ amaranthknot check examples/rostering.toml

  Exit codes
    0 no problem; 1 problems; 2 wrong command line, or no such file
`;

const describe = (
  document: configuration.Document,
  file: string,
): outcome.Success => {
  const digest = configuration.digestDocument(document);
  const counts = {
    models: document.models.length,
    cascades: document.cascades.length,
    services: document.services.length,
    workspaces: document.workspaces.length,
    zones: document.zones.length,
    rollouts: document.rollouts.length,
  };
  const listed = Object.entries(counts).map(([name, n]) => `${n} ${name}`);
  return {
    lines: [
      `${file}: no problem`,
      `  ${listed.join(', ')}`,
      `  digest ${digest}`,
    ],
    json: {file, digest, counts},
  };
};

/** Reads and checks the document in a file; Left lists its problems. */
export const readDocument = (
  file: string,
  readFile: operatorConnection.ReadFile,
) =>
  operatorConnection
    .readText(file, readFile)
    .chain(text =>
      configuration
        .parseDocument(text, file)
        .mapLeft(found => outcome.describeProblems('invalid_file', found)),
    );

/** The command. */
export const check: command.Command = createCommand.createLocalCommand({
  summary: 'check an environment document',
  help: HELP,
  syntax: {inputs: ['DOC'], flags: {}},
  act: ({inputs}, readFile) => {
    const [file = ''] = inputs;
    return readDocument(file, readFile).map(document =>
      describe(document, file),
    );
  },
});
