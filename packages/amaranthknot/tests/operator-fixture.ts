/** An in-memory environment for tests of the operator commands. */
import * as fs from 'node:fs';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import type * as command from '../src/command.js';
import * as operatorCommands from '../src/commands/operator-commands.js';
import type * as operatorConnection from '../src/operator/operator-connection.js';

/** Output and exit code of a command. */
export interface Run {
  readonly code: command.ExitCode;
  readonly out: string;
  readonly err: string;
}

/** An environment with two entry instances. */
export interface Environment {
  readonly store: fakes.MemoryObjectStore;
  /** Files that commands can read; contains the examples at first. */
  readonly files: Map<string, string>;
  /**
   * Active generation by instance id; an instance without one does not answer.
   */
  readonly generations: Map<string, number>;
  /** Makes the instance list fail. */
  isListDown: boolean;
  /**
   * Called before each read from the store, for example to act as another
   * operator.
   */
  beforeGet: (kind: string) => Promise<void>;
  /** Whether standard error is a terminal. */
  isTerminal: boolean;
  run(line: string): Promise<Run>;
}

const ENTRIES: readonly ports.ListedInstance[] = ['tunis', 'ariana'].map(
  (name, index) => ({
    id: `entry-${index + 1}`,
    role: 'entry',
    state: 'live',
    address: `127.0.0.1:${8081 + index}`,
    zone: name,
    serves: [],
  }),
);

const readExample = (name: string): string =>
  fs.readFileSync(
    new URL(`../../../examples/${name}`, import.meta.url),
    'utf8',
  );

const createTransport =
  (generations: ReadonlyMap<string, number>): protocol.PeerTransport =>
  async (address, text) => {
    const entry = ENTRIES.find(each => each.address === address);
    const generation = generations.get(entry?.id ?? '');
    if (entry === undefined || generation === undefined) {
      return purify.Left({code: 'not_sent', message: 'refused'});
    }
    const {id, zone: own} = entry;
    const from = {
      id,
      address,
      zone: own,
      state: 'live',
      incarnation: 1,
    } as const;
    const server = protocol.createPeerServer({
      report_generation: () => ({from, generation, standing: 'confirmed'}),
    });
    return purify.Right(await server.handle(text));
  };

/** A clock that advances on `sleep` without waiting. */
const createInstantClock = (): ports.Clock => {
  let time = 0;
  return {
    now: () => time,
    steadyNow: () => time,
    wallTime: () => time,
    sleep: ms => {
      time += ms;
      return Promise.resolve();
    },
  };
};

/** The store, with a hook before each `get`. */
const hookReads = (
  store: ports.ObjectStore,
  before: (kind: string) => Promise<void>,
): ports.ObjectStore => ({
  get: async (kind, name) => {
    await before(kind);
    return store.get(kind, name);
  },
  list: (kind, prefix) => store.list(kind, prefix),
  create: (kind, name, value) => store.create(kind, name, value),
  update: (kind, name, value, version) =>
    store.update(kind, name, value, version),
  delete: (kind, name, version) => store.delete(kind, name, version),
  watch: (kind, after, waitMs, signal) =>
    store.watch(kind, after, waitMs, signal),
});

/** Creates an environment without an active configuration. */
export const createEnvironment = (): Environment => {
  const clock = createInstantClock();
  const store = new fakes.MemoryObjectStore({clock});
  const names = ['rostering.toml', 'meetups.toml'];
  const files = new Map(names.map(name => [name, readExample(name)]));
  const environment: Environment = {
    store,
    files,
    generations: new Map(),
    isListDown: false,
    isTerminal: false,
    beforeGet: () => Promise.resolve(),
    run: line => runLine(line),
  };
  const connect: operatorConnection.Connect = () =>
    purify.Right({
      environment: 'trial',
      store: hookReads(store, kind => environment.beforeGet(kind)),
      instances: {
        list: () =>
          Promise.resolve(
            environment.isListDown
              ? purify.Left({code: 'unavailable', message: 'down'})
              : purify.Right(ENTRIES),
          ),
      },
      transport: createTransport(environment.generations),
      clock,
      close: () => undefined,
    });
  const commands = operatorCommands.createOperatorCommands(connect);
  const readFile = (path: string): string => {
    const text = files.get(path);
    if (text === undefined) {
      throw new Error('no such file');
    }
    return text;
  };
  const runLine = async (line: string): Promise<Run> => {
    const [name = '', ...args] = line.split(' ');
    let out = '';
    let err = '';
    const code = await commands[name]!.run(args, {
      out: text => (out += text),
      err: text => (err += text),
      isTerminal: environment.isTerminal,
      readFile,
    });
    return {code, out, err};
  };
  return environment;
};
