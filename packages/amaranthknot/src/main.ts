/** Entry point of the binary: runs a command and sets the exit code. */
import type * as command from './command.js';
import * as keepOnStreamErrors from './keep-on-stream-errors.js';
import * as processSignals from './process-signals.js';
import * as processStreams from './process-streams.js';

/** Imports the module of one command. */
type CommandLoader = () => Promise<command.Command>;

const OPERATOR_COMMANDS = [
  'apply',
  'check',
  'diff',
  'entry-instances',
  'promote',
  'rollout',
  'status',
  'timeline',
  'zone',
];

const loadOperatorCommand = async (name: string): Promise<command.Command> => {
  const {operatorCommands} = await import('./commands/operator-commands.js');
  const found = operatorCommands[name];
  if (!found) {
    throw new Error(`operator command "${name}" is listed but not defined`);
  }
  return found;
};

/**
 * Commands by name. Each is imported when it is run: the imports of the others
 * would double the time that an instance takes to restart.
 */
const COMMANDS: ReadonlyMap<string, CommandLoader> = new Map<
  string,
  CommandLoader
>([
  ['demo', async () => (await import('./commands/demo.js')).demo],
  ['explain', async () => (await import('./commands/explain.js')).explain],
  ['fakes', async () => (await import('./commands/fakes.js')).fakes],
  ['gateway', async () => (await import('./commands/gateway.js')).gateway],
  [
    'held-parts',
    async () => (await import('./commands/held-parts.js')).heldParts,
  ],
  ['serve', async () => (await import('./commands/serve.js')).serve],
  ...OPERATOR_COMMANDS.map((name): [string, CommandLoader] => [
    name,
    () => loadOperatorCommand(name),
  ]),
]);

/** The commands that stop gracefully on a signal. */
const LONG_RUNNING_COMMANDS: readonly string[] = ['gateway', 'serve'];

const streams = processStreams.PROCESS_STREAMS;

const listCommands = async (): Promise<string> => {
  const rows = await Promise.all(
    [...COMMANDS].map(async ([name, load]) => {
      const {summary} = await load();
      return `  ${name.padEnd(18)} ${summary}`;
    }),
  );
  return `Usage: amaranthknot COMMAND [OPTIONS]\n\n${rows.join('\n')}\n`;
};

const suggest = async (name: string): Promise<string> => {
  const configuration = await import('@amaranthknot/configuration');
  const nearest = configuration.findNearest(name, [...COMMANDS.keys()]);
  return nearest ? `; did you mean ${nearest}?` : '';
};

const main = async (): Promise<command.ExitCode> => {
  const [name, ...args] = process.argv.slice(2);
  if (name === undefined || name === '--help') {
    streams.out(await listCommands());
    return name === undefined ? 2 : 0;
  }
  const load = COMMANDS.get(name);
  if (!load) {
    streams.err(`no command ${name}${await suggest(name)}\n`);
    return 2;
  }
  if (LONG_RUNNING_COMMANDS.includes(name)) {
    // A signal that arrives while the command is imported is kept for it.
    processSignals.listenForSignals();
  }
  const found = await load();
  if (args.includes('--help')) {
    streams.out(found.help);
    return 0;
  }
  return found.run(args, streams);
};

keepOnStreamErrors.keepOnStreamErrors();
void main().then(code => {
  process.exitCode = code;
});
