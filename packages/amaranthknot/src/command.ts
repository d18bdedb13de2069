/** Interface of the commands of the binary. */

/** Where a command reads from and writes to; tests pass their own. */
export interface CommandStreams {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
  /** Whether `err` is a terminal, so that progress may be shown. */
  readonly isTerminal: boolean;
  /** Reads a file's text; throws as `fs.readFileSync` does. */
  readonly readFile: (path: string) => string;
}

/**
 * Exit codes of all commands.
 *
 * - 0: done.
 * - 1: negative result: a check failed, a conflict, or not active in time.
 * - 2: invalid command line.
 * - 3: the platform or the instances can't be reached.
 */
export type ExitCode = 0 | 1 | 2 | 3;

/** A command of the binary. */
export interface Command {
  /** One line for the list of commands. */
  readonly summary: string;
  /** Usage, options and an example, as `--help` prints it. */
  readonly help: string;
  run(args: readonly string[], streams: CommandStreams): Promise<ExitCode>;
}
