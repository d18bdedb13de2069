/**
 * Starts the fakes of one deployment in one process: the platform, and each
 * engine and service that an instances file lists.
 */
import * as toml from 'smol-toml';
import * as zod from 'zod';
import type * as ports from '@amaranthknot/ports';
import * as engineServer from './engine-server.js';
import * as platformServer from './platform-server.js';
import * as serviceServer from './service-server.js';

const INSTANCES = zod.object({
  instances: zod.array(
    zod.object({
      id: zod.string(),
      role: zod.enum(['entry', 'engine', 'service']),
      state: zod.enum(['live', 'leaving']).default('live'),
      address: zod.string(),
      zone: zod.string(),
      serves: zod.array(zod.string()).default([]),
    }),
  ),
});

/** Parses an instances file (TOML); throws if it is malformed. */
export const parseInstances = (text: string): readonly ports.ListedInstance[] =>
  INSTANCES.parse(toml.parse(text)).instances;

/** Prompts with this word get a low confidence from small models. */
export const HARD_WORD = 'hard';

const LOW_CONFIDENCE = 0.05;
const HIGH_CONFIDENCE = 0.98;

/**
 * Confidence of a fake engine's answer: low if the prompt has `HARD_WORD` and
 * the model's name has `small`.
 */
export const scoreByPrompt = (prompt: string, model: string): number =>
  prompt.includes(HARD_WORD) && model.includes('small')
    ? LOW_CONFIDENCE
    : HIGH_CONFIDENCE;

/** Options of a fake deployment. */
export interface FakeDeploymentOptions {
  readonly clock: ports.Clock;
  readonly instances: readonly ports.ListedInstance[];
  /** Port of the platform; 0, the default, picks a free one. */
  readonly platformPort?: number;
  /** Whether engines and services listen on free ports, not the listed ones. */
  readonly freePorts?: boolean;
  /** Time between an engine's tokens, in milliseconds. */
  readonly tokenMs?: number;
}

/** A running fake deployment; engines and services by instance id. */
export interface FakeDeployment {
  readonly platform: platformServer.PlatformServer;
  readonly engines: ReadonlyMap<string, engineServer.EngineServer>;
  readonly services: ReadonlyMap<string, serviceServer.ServiceServer>;
  stop(): Promise<void>;
}

const portOf = (address: string): number =>
  Number(address.slice(address.lastIndexOf(':') + 1));

/**
 * Starts the platform and all listed engines and services. Entry instances are
 * not started, only listed.
 */
export const startFakeDeployment = async (
  options: FakeDeploymentOptions,
): Promise<FakeDeployment> => {
  const {clock, instances, freePorts, tokenMs} = options;
  const engines = new Map<string, engineServer.EngineServer>();
  const services = new Map<string, serviceServer.ServiceServer>();
  const listed: ports.ListedInstance[] = [];
  for (const row of instances) {
    const port = freePorts ? 0 : portOf(row.address);
    if (row.role === 'engine') {
      const server = new engineServer.EngineServer({
        id: row.id,
        clock,
        port,
        serves: row.serves,
        confidence: scoreByPrompt,
        ...(tokenMs === undefined ? {} : {tokenMs}),
      });
      await server.start();
      engines.set(row.id, server);
      listed.push({...row, address: server.address});
    } else if (row.role === 'service') {
      const name = row.serves[0] ?? row.id;
      const server = new serviceServer.ServiceServer(name, port);
      await server.start();
      services.set(row.id, server);
      listed.push({...row, address: server.address});
    } else {
      listed.push(row);
    }
  }
  const platform = new platformServer.PlatformServer({
    clock,
    port: options.platformPort ?? 0,
    instances: listed,
  });
  await platform.start();
  const servers = [...engines.values(), ...services.values(), platform];
  return {
    platform,
    engines,
    services,
    stop: async () => {
      await Promise.all(servers.map(server => server.stop()));
    },
  };
};
