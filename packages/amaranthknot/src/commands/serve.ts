/** `amaranthknot serve`: runs one entry instance until it gets a signal. */
import * as configuration from '@amaranthknot/configuration';
import * as ports from '@amaranthknot/ports';
import type * as command from '../command.js';
import * as processSignals from '../process-signals.js';
import * as readFlags from '../read-flags.js';
import * as processGuard from '../process-guard.js';
import * as entryInstance from '../entry-instance.js';
import type * as instanceOptions from '../instance-options.js';
import * as stopRequest from '../stop-request.js';

/**
 * Time that a stop takes beside that for requests in progress, in milliseconds:
 * bills are written for up to 5 s.
 */
const STOP_MARGIN_MS = 6_000;

const HELP = `
  Runs one entry instance. SIGTERM, SIGINT and SIGHUP stop it gracefully: it is no
  longer offered to callers, serves on until old answers of the directory have
  expired and the last request is done, then exits.

  Usage
    $ amaranthknot serve --settings FILE

  Options
    --settings FILE  settings of this instance (TOML)

  Example
    $ amaranthknot serve --settings examples/settings.toml

  Exit codes
    0 stopped gracefully; 1 settings refused; 2 wrong command line;
    70 stopped because of an error that the log has as process_failing
`;

const findSecrets = (
  settings: configuration.Settings,
  readFile: (path: string) => string,
): instanceOptions.Secrets | configuration.SecretError => {
  const {keys} = settings;
  const inner = configuration.readSecret(keys.innerKey, readFile);
  const session = configuration.readSecret(keys.sessionKey, readFile);
  const own = settings.platform.key;
  const platformKey = own && configuration.readSecret(own, readFile);
  for (const secret of [inner, session, platformKey]) {
    if (secret?.isLeft()) {
      return secret.extract();
    }
  }
  return {
    innerKey: inner.orDefault(''),
    sessionKey: session.orDefault(''),
    ...(platformKey ? {platformKey: platformKey.orDefault('')} : {}),
  };
};

const readSettings = (
  path: string,
  streams: command.CommandStreams,
): configuration.Settings | undefined => {
  let text: string;
  try {
    text = streams.readFile(path);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    streams.err(`${path}: ${reason}\n`);
    return undefined;
  }
  return configuration
    .parseSettings(text, path)
    .mapLeft(problems => {
      for (const problem of problems) {
        streams.err(`${configuration.formatProblem(problem)}\n`);
      }
    })
    .orDefault(undefined as never);
};

const run = async (
  args: readonly string[],
  streams: command.CommandStreams,
): Promise<command.ExitCode> => {
  const read = readFlags.readFlags(args, {settings: {type: 'string'}});
  if (read.isLeft()) {
    streams.err(`${read.extract()}\n`);
    return 2;
  }
  const {flags} = read.unsafeCoerce();
  const path = flags.settings;
  if (path === undefined) {
    streams.err('serve needs --settings FILE\n');
    return 2;
  }
  const settings = readSettings(path, streams);
  if (!settings) {
    return 1;
  }
  const secrets = findSecrets(settings, streams.readFile);
  if (!('innerKey' in secrets)) {
    streams.err(`${secrets.path}: ${secrets.message}\n`);
    return 1;
  }
  const {listen, advertise} = settings.instance;
  const instance = new entryInstance.EntryInstance({
    settings,
    secrets,
    clock: ports.systemClock,
    advertise: configuration.formatAddress(advertise ?? listen),
  });
  const {request, requested} = stopRequest.createStopRequest();
  // This command reloads nothing, so that each signal stops it.
  processSignals.listenForSignals().handle(request);
  const guard = processGuard.installProcessGuard({
    log: failure => {
      instance.recordFailure(failure);
    },
    onFailure: () => {
      request('error');
    },
    maxStopMs: () => settings.limits.stopGraceMs + STOP_MARGIN_MS,
  });
  await instance.start().catch((error: unknown) => {
    guard.report(error, 'start');
  });
  const reason = await requested;
  await instance.stop(reason).catch((error: unknown) => {
    guard.report(error, 'stop');
  });
  if (guard.exitCode() !== 0) {
    // What the error has left behind may keep the process running.
    process.exit(guard.exitCode());
  }
  return 0;
};

/** The command. */
export const serve: command.Command = {
  summary: 'run one entry instance',
  help: HELP,
  run,
};
