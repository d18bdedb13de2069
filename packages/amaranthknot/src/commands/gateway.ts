/** `amaranthknot gateway`: runs one gateway instance until it is stopped. */
import * as configuration from '@amaranthknot/configuration';
import type * as gatewayPackage from '@amaranthknot/gateway';
import * as ports from '@amaranthknot/ports';
import type * as command from '../command.js';
import * as purify from 'purify-ts';
import * as gatewayInstance from '../gateway/gateway-instance.js';
import * as settingsSource from '../gateway/settings-source.js';
import * as flushStream from '../flush-stream.js';
import * as processGuard from '../process-guard.js';
import * as processSignals from '../process-signals.js';
import * as stopRequest from '../stop-request.js';

/** Variable with the path of the settings file, without `--settings`. */
const SETTINGS_VARIABLE = 'AMARANTHKNOT_CONFIG';

/** Longest time before the exit in which the log is written, in ms. */
const LOG_FLUSH_LIMIT_MS = 100;

const HELP = `
  Runs one gateway instance before the users' platform. SIGTERM and SIGINT
  stop it gracefully.

  Usage
    $ amaranthknot gateway [--settings FILE]

  Options
    --settings FILE  settings of this instance (TOML); by default the file
                     that the variable ${SETTINGS_VARIABLE} names

  Exit codes
    0 stopped gracefully; 1 settings refused, or an address stays taken;
    2 wrong command line; 70 stopped because of an error that the log has as
    process_failing
`;

const createSource = (
  path: string,
  streams: command.CommandStreams,
): purify.Either<string, settingsSource.SettingsSource> => {
  const read = () =>
    purify.Either.encase(() => streams.readFile(path)).mapLeft(
      error => `${path}: ${error.message}`,
    );
  return read().chain(text =>
    configuration
      .parseGatewaySettings(text, path)
      .map(first => new settingsSource.SettingsSource(first, text, read, path))
      .mapLeft(problems =>
        problems.map(configuration.formatProblem).join('\n'),
      ),
  );
};

/**
 * Reads the path of the settings file from the command line, if it has one. The
 * parser of options is imported only if there are arguments: it takes a fifth of
 * the time to start, and an instance that restarts after a kill has none.
 */
const readPath = async (
  args: readonly string[],
): Promise<purify.Either<string, string | undefined>> => {
  if (args.length === 0) {
    return purify.Right(undefined);
  }
  const {readFlags} = await import('../read-flags.js');
  const read = readFlags(args, {settings: {type: 'string'}});
  return read.map(({flags}) => flags.settings);
};

/** What was done before the program was loaded. */
export interface EarlyStart {
  /** Listens for callers; by default the instance opens its address itself. */
  readonly callerListener?: gatewayPackage.OpenedListener | undefined;
  /** Signals that the process got, in order. */
  readonly receivedSignals?: readonly processSignals.Signal[];
}

/** Runs the command. */
export const runGateway = async (
  args: readonly string[],
  streams: command.CommandStreams,
  {callerListener, receivedSignals}: EarlyStart = {},
): Promise<command.ExitCode> => {
  const signals = processSignals.listenForSignals(receivedSignals);
  const read = await readPath(args);
  if (read.isLeft()) {
    streams.err(`${read.extract()}\n`);
    return 2;
  }
  const path = read.unsafeCoerce() ?? process.env[SETTINGS_VARIABLE];
  if (path === undefined) {
    streams.err(`gateway needs --settings FILE or ${SETTINGS_VARIABLE}\n`);
    return 2;
  }
  const source = createSource(path, streams);
  if (source.isLeft()) {
    streams.err(`${source.extract()}\n`);
    return 1;
  }
  const settings = source.unsafeCoerce();
  const instance = new gatewayInstance.GatewayInstance({
    settings,
    clock: ports.createSuspendAwareClock(ports.systemClock),
    random: Math.random,
    callerListener,
  });
  const {request, requested} = stopRequest.createStopRequest();
  const guard = processGuard.installProcessGuard({
    log: failure => {
      instance.recordFailure(failure);
    },
    onFailure: () => {
      request('error');
    },
    maxStopMs: () => settings.current.bounds.change.stopGraceMs,
  });
  signals.handle(signal => {
    instance.recordSignal(signal);
    if (signal === 'SIGHUP') {
      instance.reload();
    } else {
      request(signal);
    }
  });
  const exitCode = await runUntilStopped(instance, guard, {request, requested});
  // Connections that callers keep open would keep the process running.
  await flushStream.flushStream(process.stdout, LOG_FLUSH_LIMIT_MS);
  process.exit(guard.exitCode() || exitCode);
};

/**
 * Starts the instance, and stops it at the first request to do so, or if it can't
 * start; callers may be served already then.
 */
const runUntilStopped = async (
  instance: gatewayInstance.GatewayInstance,
  guard: processGuard.ProcessGuard,
  {request, requested}: stopRequest.StopRequest,
): Promise<command.ExitCode> => {
  const started = await Promise.race([
    instance.start().catch((error: unknown) => {
      guard.report(error, 'start');
      return purify.Right(undefined);
    }),
    requested.then(() => purify.Right(undefined)),
  ]);
  started.ifLeft(() => {
    request('address');
  });
  const reason = await requested;
  await instance.stop(reason).catch((error: unknown) => {
    guard.report(error, 'stop');
  });
  started.ifLeft(failure => {
    instance.reportFailedStart(failure);
  });
  return started.isRight() ? 0 : 1;
};

/** The command. */
export const gateway: command.Command = {
  summary: 'run one gateway instance before the platform',
  help: HELP,
  run: runGateway,
};
