/**
 * Creates commands from their descriptions and actions. Parsing of arguments and
 * printing of results is common to all of them.
 */
import * as purify from 'purify-ts';
import type * as command from '../command.js';
import * as operatorConnection from './operator-connection.js';
import * as outcome from './outcome.js';
import * as parseArguments from './parse-arguments.js';

/** Flags of every command. */
const COMMON_FLAGS = {json: {type: 'boolean'}} as const;

/** Flags of every command that reaches the platform. */
const OPERATOR_FLAGS = {
  ...COMMON_FLAGS,
  settings: {type: 'string'},
  environment: {type: 'string'},
} as const;

/** Result of a command, to be printed. */
export type Result = purify.Either<outcome.Failure, outcome.Success>;

/** Help texts and syntax of a command. */
export interface Description<F extends parseArguments.Flags> {
  readonly summary: string;
  readonly help: string;
  readonly syntax: parseArguments.Syntax<F>;
}

/** A command that only reads files. */
export interface LocalCommand<
  F extends parseArguments.Flags,
> extends Description<F> {
  act(
    given: parseArguments.Arguments<F>,
    readFile: operatorConnection.ReadFile,
  ): Result;
}

/** What the action of an operator command gets. */
export interface OperatorContext<F extends parseArguments.Flags> {
  readonly connection: operatorConnection.OperatorConnection;
  readonly environment: string;
  readonly given: parseArguments.Arguments<F>;
  readonly readFile: operatorConnection.ReadFile;
  /** Prints progress to the error stream if that is a terminal. */
  readonly showProgress: (text: string) => void;
}

/** A command that calls the platform or the instances. */
export interface OperatorCommand<
  F extends parseArguments.Flags,
> extends Description<F> {
  act(context: OperatorContext<F>): Promise<Result>;
}

const printResult = (
  result: Result,
  isJson: boolean,
  streams: command.CommandStreams,
): command.ExitCode =>
  result.caseOf({
    Left: failure => outcome.printFailure(failure, isJson, streams),
    Right: success => outcome.printSuccess(success, isJson, streams),
  });

const createRun =
  <F extends parseArguments.Flags>(
    description: Description<F>,
    flags: parseArguments.Flags,
    act: (
      given: parseArguments.Arguments<F>,
      streams: command.CommandStreams,
    ) => Result | Promise<Result>,
  ): command.Command['run'] =>
  async (args, streams) => {
    if (args.includes('--help')) {
      streams.out(description.help);
      return 0;
    }
    const syntax = {
      ...description.syntax,
      flags: {...flags, ...description.syntax.flags},
    };
    const parsed = parseArguments
      .parseArguments(args, syntax)
      .mapLeft(message =>
        outcome.createFailure('usage', `${message}; see --help`),
      );
    const isJson = args.includes('--json');
    if (parsed.isLeft()) {
      return printResult(parsed, isJson, streams);
    }
    const given = parsed.unsafeCoerce() as parseArguments.Arguments<F>;
    return printResult(await act(given, streams), isJson, streams);
  };

/** Creates a command that only reads files. */
export const createLocalCommand = <F extends parseArguments.Flags>(
  local: LocalCommand<F>,
): command.Command => ({
  summary: local.summary,
  help: local.help,
  run: createRun(local, COMMON_FLAGS, (given, streams) =>
    local.act(given, streams.readFile),
  ),
});

type OperatorFlags = {
  readonly [K in 'settings' | 'environment']: string | undefined;
};

const createContext = <F extends parseArguments.Flags>(
  opened: operatorConnection.OperatorConnection,
  given: parseArguments.Arguments<F>,
  streams: command.CommandStreams,
): OperatorContext<F> => ({
  connection: opened,
  environment:
    (given.flags as unknown as OperatorFlags).environment ?? opened.environment,
  given,
  readFile: streams.readFile,
  showProgress: text => {
    if (streams.isTerminal) {
      streams.err(`${text}\n`);
    }
  },
});

/** Creates a command that connects by the settings of `--settings FILE`. */
export const createOperatorCommand = <F extends parseArguments.Flags>(
  operator: OperatorCommand<F>,
  connect: operatorConnection.Connect,
): command.Command => ({
  summary: operator.summary,
  help: operator.help,
  run: createRun(operator, OPERATOR_FLAGS, async (given, streams) => {
    const {settings} = given.flags as unknown as OperatorFlags;
    if (settings === undefined) {
      return purify.Left(
        outcome.createFailure('usage', 'needs --settings FILE; see --help'),
      );
    }
    const opened = connect(settings, streams.readFile);
    if (opened.isLeft()) {
      return opened;
    }
    const connection = opened.unsafeCoerce();
    const result = await operator.act(
      createContext(connection, given, streams),
    );
    connection.close();
    return result;
  }),
});
