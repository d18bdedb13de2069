/** Starts the deployment that the overhead bench measures. */
import * as crypto from 'node:crypto';
import * as amaranthknot from '@amaranthknot/amaranthknot';
import * as configuration from '@amaranthknot/configuration';
import type * as ports from '@amaranthknot/ports';
import * as caller from './caller.js';

/** The fake engine repeats the prompt, one word a token: a short answer. */
const PROMPT = 'one two three four five six seven eight nine ten eleven twelve';

const MODEL = 'small';
const VERSION = 'v1';
const WORKSPACES = 10;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

const createKey = (workspace: number): string => `bench-key-${workspace}`;

const createKeyDigest = (workspace: number): string =>
  crypto.createHash('sha256').update(createKey(workspace)).digest('hex');

const createWorkspace = (number: number): string => `
[workspaces.w${number}]
keys = ["sha256:${createKeyDigest(number)}"]
quality_target = 0.9
priority = "interactive"
weight = 1
[workspaces.w${number}.limits]
max_concurrent = 1000
max_queued = 1000
max_wait_ms = 5000

[[rules]]
workspaces = ["w${number}"]
allow = ["model:${MODEL}"]
`;

const createDocument = (): configuration.Document =>
  configuration
    .parseDocument(
      `
[models.${MODEL}]
cost_per_thousand_tokens = 0.1
default_version = "${VERSION}"
[models.${MODEL}.versions.${VERSION}]
${Array.from({length: WORKSPACES}, (_, i) => createWorkspace(i)).join('')}
${ZONES.map(zone => `[zones.${zone}]\nstate = "in"\n`).join('')}
`,
      'overhead.toml',
    )
    .mapLeft(problems => new Error(JSON.stringify(problems)))
    .unsafeCoerce();

/**
 * The only engine, so that direct requests and those through an entry instance
 * reach the same fake. Entry instances run in three zones, so that bills are
 * copied as in a deployment; only the first one gets requests.
 */
const ENGINE: ports.ListedInstance = {
  id: 'engine-1',
  role: 'engine',
  state: 'live',
  address: '127.0.0.1:0',
  zone: 'zone-a',
  serves: [`${MODEL}@${VERSION}`],
};

/** Callers of the engine: directly, and through an entry instance. */
export interface OverheadSetup {
  readonly direct: caller.Caller;
  readonly entry: caller.Caller;
  stop(): Promise<void>;
}

const createBody = (extra: object): string =>
  JSON.stringify({
    messages: [{role: 'user', content: PROMPT}],
    ...extra,
  });

/** Starts the deployment. */
export const startSetup = async (options: {
  readonly stream: boolean;
  readonly tokenMs: number;
}): Promise<OverheadSetup> => {
  const {stream, tokenMs} = options;
  const deployment = await amaranthknot.startEmbedded({
    environment: 'bench',
    document: createDocument(),
    upstreams: [ENGINE],
    zones: ZONES,
    tokenMs,
  });
  const engine = deployment.fakes.engines.get(ENGINE.id);
  const direct = new caller.Caller({
    address: engine?.address ?? '',
    headers: {},
    createBody: number =>
      createBody({
        model: `${MODEL}@${VERSION}`,
        stream: true,
        request_id: `direct-${number}`,
        resume_from: 0,
      }),
  });
  const entry = new caller.Caller({
    address: deployment.addresses[0] ?? '',
    headers: {authorization: `Bearer ${createKey(WORKSPACES - 1)}`},
    createBody: () => createBody({model: MODEL, stream}),
  });
  return {
    direct,
    entry,
    stop: async () => {
      direct.close();
      entry.close();
      await deployment.stop();
    },
  };
};
