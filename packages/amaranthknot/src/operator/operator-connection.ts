/** Connects operator commands to the platform and the entry instances. */
import * as configuration from '@amaranthknot/configuration';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as outcome from './outcome.js';

/** Reads a file's text; throws as `fs.readFileSync` does. */
export type ReadFile = (path: string) => string;

/** The platform and the entry instances of an environment. */
export interface OperatorConnection {
  /** Environment of the settings, for commands without `--environment`. */
  readonly environment: string;
  readonly store: ports.ObjectStore;
  readonly instances: ports.InstanceList;
  readonly transport: protocol.PeerTransport;
  readonly clock: ports.Clock;
  /** Closes open connections, which would keep the process running. */
  close(): void;
}

/** Connects by the settings file at `path`; reads secrets with `readFile`. */
export type Connect = (
  path: string,
  readFile: ReadFile,
) => purify.Either<outcome.Failure, OperatorConnection>;

/** Reads a file's text; Left is `unreadable_file`, with the reason. */
export const readText = (
  path: string,
  readFile: ReadFile,
): purify.Either<outcome.Failure, string> =>
  purify.Either.encase(() => readFile(path)).mapLeft(error =>
    outcome.createFailure('unreadable_file', `${path}: ${error.message}`),
  );

const readSecret = (
  secret: configuration.Secret,
  readFile: ReadFile,
): purify.Either<outcome.Failure, string> =>
  configuration
    .readSecret(secret, readFile)
    .mapLeft(({path, code, message}) =>
      outcome.createFailure(
        code === 'unreadable' ? 'unreadable_file' : 'invalid_file',
        `${path}: ${message}`,
      ),
    );

const readPlatformKey = (
  settings: configuration.Settings,
  readFile: ReadFile,
): purify.Either<outcome.Failure, {readonly key?: string}> =>
  settings.platform.key === undefined
    ? purify.Right({})
    : readSecret(settings.platform.key, readFile).map(key => ({key}));

const createConnection = (
  settings: configuration.Settings,
  innerKey: string,
  platformKey: {readonly key?: string},
): OperatorConnection => {
  const {objectApi, instanceList} = settings.platform;
  const createClient = (url: string): ports.HttpClient =>
    new ports.HttpClient({url, ...platformKey});
  const transport = protocol.createHttpTransport({innerKey});
  return {
    environment: settings.instance.environment,
    store: new ports.HttpObjectStore(createClient(objectApi)),
    instances: new ports.HttpInstanceList(createClient(instanceList)),
    transport: transport.send,
    clock: ports.systemClock,
    close: () => transport.close(),
  };
};

/** Connects over HTTP, by the settings of any instance of the environment. */
export const connect: Connect = (path, readFile) =>
  readText(path, readFile)
    .chain(text =>
      configuration
        .parseSettings(text, path)
        .mapLeft(found => outcome.describeProblems('invalid_file', found)),
    )
    .chain(settings =>
      readSecret(settings.keys.innerKey, readFile).chain(innerKey =>
        readPlatformKey(settings, readFile).map(platformKey =>
          createConnection(settings, innerKey, platformKey),
        ),
      ),
    );
