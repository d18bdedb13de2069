/** Results of commands, and how they are printed: as lines or as JSON. */
import * as configuration from '@amaranthknot/configuration';
import type * as command from '../command.js';

/** Reason why a command failed; part of its JSON output. */
export type FailureCode =
  | 'usage'
  | 'unreadable_file'
  | 'invalid_file'
  | 'refused'
  | 'unknown_name'
  | 'not_found'
  | 'conflict'
  | 'not_in_force'
  | 'unavailable'
  | 'unknown_outcome';

/** Exit code of each failure. */
const EXIT_CODES: Readonly<Record<FailureCode, command.ExitCode>> = {
  usage: 2,
  unreadable_file: 2,
  invalid_file: 1,
  refused: 1,
  unknown_name: 2,
  not_found: 1,
  conflict: 1,
  not_in_force: 1,
  unavailable: 3,
  unknown_outcome: 3,
};

/** A failed command. */
export interface Failure {
  readonly code: FailureCode;
  /** Lines of the text output; the first says what is wrong. */
  readonly lines: readonly string[];
  /** Further members of the `error` object in JSON. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** A command that succeeded. */
export interface Success {
  /** Lines of the text output. */
  readonly lines: readonly string[];
  /** Members of the JSON output. */
  readonly json: Readonly<Record<string, unknown>>;
}

/** Creates a failure with a message of one line. */
export const createFailure = (
  code: FailureCode,
  message: string,
  details?: Readonly<Record<string, unknown>>,
): Failure => ({
  code,
  lines: [message],
  ...(details === undefined ? {} : {details}),
});

/** Creates a failure that lists the problems of a file or document. */
export const describeProblems = (
  code: FailureCode,
  problems: readonly configuration.Problem[],
): Failure => ({
  code,
  lines: problems.map(configuration.formatProblem),
  details: {problems},
});

/** Creates the failure for a name that is not one of `names`. */
export const describeUnknownName = (
  kind: string,
  name: string,
  names: readonly string[],
): Failure => {
  const nearest = configuration.findNearest(name, names);
  const hint = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
  const listed = names.length === 0 ? 'there are none' : names.join(', ');
  const message = `there is no ${kind} "${name}"${hint} (${listed})`;
  return createFailure(
    'unknown_name',
    message,
    nearest === undefined ? {} : {nearest},
  );
};

const print = (lines: readonly string[]): string =>
  lines.map(line => `${line}\n`).join('');

/** Prints a success to the output stream, as lines or as one line of JSON. */
export const printSuccess = (
  success: Success,
  isJson: boolean,
  streams: command.CommandStreams,
): command.ExitCode => {
  const json = JSON.stringify({ok: true, ...success.json});
  streams.out(print(isJson ? [json] : success.lines));
  return 0;
};

/**
 * Prints a failure, as lines to the error stream or as one line of JSON to the
 * output stream, and returns its exit code.
 */
export const printFailure = (
  failure: Failure,
  isJson: boolean,
  streams: command.CommandStreams,
): command.ExitCode => {
  const {code, lines, details} = failure;
  if (isJson) {
    const error = {code, message: lines[0] ?? code, ...details};
    streams.out(print([JSON.stringify({ok: false, error})]));
  } else {
    streams.err(print(lines));
  }
  return EXIT_CODES[code];
};
