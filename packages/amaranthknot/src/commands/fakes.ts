/** `amaranthknot fakes`: runs the fakes alone, for manual trials. */
import * as fakeDeployment from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import type * as command from '../command.js';
import * as readFlags from '../read-flags.js';

const DEFAULT_PORT = 7000;

const HELP = `
  Runs stand-ins of the platform and of all listed engines and services in
  this process, on loopback, until it is told to stop. For trials only.

  Usage
    $ amaranthknot fakes --instances FILE [--port N] [--entry ID=ADDRESS@ZONE]

  Options
    --instances FILE  engines and services to stand in for (TOML)
    --port N          port of the platform, ${DEFAULT_PORT} by default
    --entry ...       an entry instance for the platform's list; repeat it
    --token-ms N      time between an engine's tokens, 0 by default

  Example
    $ amaranthknot fakes --instances examples/meetups-instances.toml \\
        --entry entry-1=127.0.0.1:8081@akl-a

  Exit codes
    0 stopped; 2 wrong command line
`;

const ENTRY = /^([^=]+)=([^@]+)@(.+)$/;

const parseEntry = (text: string): ports.ListedInstance | undefined => {
  const match = ENTRY.exec(text);
  if (!match) {
    return undefined;
  }
  const [, id = '', address = '', zone = ''] = match;
  return {id, role: 'entry', state: 'live', address, zone, serves: []};
};

const run = async (
  args: readonly string[],
  streams: command.CommandStreams,
): Promise<command.ExitCode> => {
  const read = readFlags.readFlags(args, {
    instances: {type: 'string'},
    port: {type: 'number', default: DEFAULT_PORT},
    entry: {type: 'string', isMultiple: true},
    tokenMs: {type: 'number', default: 0},
  });
  if (read.isLeft()) {
    streams.err(`${read.extract()}\n`);
    return 2;
  }
  const {flags} = read.unsafeCoerce();
  const {instances, port, tokenMs} = flags;
  const entries = flags.entry ?? [];
  const invalid = entries.find(text => !parseEntry(text));
  if (instances === undefined || invalid !== undefined) {
    streams.err(
      instances === undefined
        ? 'fakes needs --instances FILE\n'
        : `--entry ${invalid ?? ''}: want ID=ADDRESS@ZONE\n`,
    );
    return 2;
  }
  const listed = fakeDeployment.parseInstances(streams.readFile(instances));
  const running = await fakeDeployment.startFakeDeployment({
    clock: ports.systemClock,
    instances: [
      ...listed,
      ...entries.map(parseEntry).filter(entry => entry !== undefined),
    ],
    platformPort: port,
    tokenMs,
  });
  streams.out(`platform at ${running.platform.url}\n`);
  await new Promise(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await running.stop();
  return 0;
};

/** The command. */
export const fakes: command.Command = {
  summary: 'run the stand-ins alone',
  help: HELP,
  run,
};
