/** A small deployment for tests: two models, one service, three workspaces. */
import * as crypto from 'node:crypto';
import * as configuration from '@amaranthknot/configuration';
import type * as ports from '@amaranthknot/ports';
import * as embeddedDeployment from '../../src/embedded-deployment.js';

export const ZONES = ['zone-a', 'zone-b', 'zone-c'];

const digest = (key: string): string =>
  `sha256:${crypto.createHash('sha256').update(key).digest('hex')}`;

/** API key of a test workspace. */
export const keyOf = (workspace: string): string => `test-key-of-${workspace}`;

const createWorkspaceTable = (name: string, cascade?: string): string => `
[workspaces.${name}]
keys = ["${digest(keyOf(name))}"]
quality_target = 0.9
priority = "interactive"
weight = 1
${cascade === undefined ? '' : `default_cascade = "${cascade}"`}
[workspaces.${name}.limits]
max_concurrent = 100
max_queued = 100
max_wait_ms = 5000
`;

/** Text of the test document, as TOML. */
export const createDocumentText = (
  overrides: {
    readonly zoneStates?: Readonly<Record<string, string>>;
    /**
     * Steps of a rollout of small from v1 to v2; without them there is no
     * rollout.
     */
    readonly rolloutSteps?: readonly number[];
  } = {},
): string => `
[models.small]
cost_per_thousand_tokens = 0.1
default_version = "v1"
[models.small.versions.v1]
[models.small.versions.v2]

[models.large]
cost_per_thousand_tokens = 2
default_version = "v1"
[models.large.versions.v1]

[cascades.answers]
stages = ["small", "large"]

[services.bookings]
cost_per_call = 0.01
idempotent_methods = ["GET", "HEAD"]

${createWorkspaceTable('north', 'answers')}
${createWorkspaceTable('south', 'answers')}
${createWorkspaceTable('west')}

[[rules]]
workspaces = ["north"]
allow = ["cascade:answers", "service:bookings"]

[[rules]]
workspaces = ["west"]
allow = ["model:small"]

[[rules]]
workspaces = ["south"]
allow = ["cascade:answers", "model:small@v1"]

${
  overrides.rolloutSteps === undefined
    ? ''
    : `[rollouts.small]
from = "v1"
to = "v2"
steps = [${overrides.rolloutSteps.join(', ')}]
`
}

${ZONES.map(
  zone =>
    `[zones.${zone}]\nstate = "${overrides.zoneStates?.[zone] ?? 'in'}"\n`,
).join('\n')}
`;

/** The parsed test document. */
export const createDocument = (
  overrides: Parameters<typeof createDocumentText>[0] = {},
): configuration.Document =>
  configuration
    .parseDocument(createDocumentText(overrides), 'test.toml')
    .mapLeft(problems => new Error(JSON.stringify(problems)))
    .unsafeCoerce();

/** One engine and one booking service in each zone. */
export const createUpstreams = (): readonly ports.ListedInstance[] =>
  ZONES.flatMap((zone, i): ports.ListedInstance[] => [
    {
      id: `engine-${i + 1}`,
      role: 'engine',
      state: 'live',
      address: '127.0.0.1:0',
      zone,
      serves: ['small@v1', 'small@v2', 'large@v1'],
    },
    {
      id: `bookings-${i + 1}`,
      role: 'service',
      state: 'live',
      address: '127.0.0.1:0',
      zone,
      serves: ['bookings'],
    },
  ]);

/** Starts the test deployment with one entry instance in each zone. */
export const startDeployment = (
  overrides: Partial<embeddedDeployment.EmbeddedOptions> = {},
): Promise<embeddedDeployment.EmbeddedDeployment> =>
  embeddedDeployment.startEmbedded({
    environment: 'test',
    document: createDocument(),
    upstreams: createUpstreams(),
    zones: ZONES,
    ...overrides,
  });

/** An HTTP answer; `json` is undefined if the body is not JSON. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  readonly json: any; // eslint-disable-line @typescript-eslint/no-explicit-any
}

/** Sends an HTTP request with the key of a workspace, by default `north`. */
export const send = async (
  address: string,
  path: string,
  options: {
    readonly method?: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    readonly workspace?: string;
  } = {},
): Promise<RawAnswer> => {
  const answer = await fetch(`http://${address}${path}`, {
    method: options.method ?? 'POST',
    headers: {
      authorization: `Bearer ${keyOf(options.workspace ?? 'north')}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    ...(options.body === undefined
      ? {}
      : {
          body:
            typeof options.body === 'string'
              ? options.body
              : JSON.stringify(options.body),
        }),
  });
  const text = await answer.text();
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    json = undefined;
  }
  return {status: answer.status, headers: answer.headers, text, json};
};

/** Requests a chat completion, by default of `answers` and not streamed. */
export const chat = (
  address: string,
  prompt: string,
  options: Parameters<typeof send>[2] & {
    readonly model?: string;
    readonly stream?: boolean;
  } = {},
): Promise<RawAnswer> =>
  send(address, '/v1/chat/completions', {
    ...options,
    body: {
      model: options.model ?? 'answers',
      stream: options.stream ?? false,
      messages: [{role: 'user', content: prompt}],
    },
  });

/** Books a seat under an idempotency key. */
export const book = (
  address: string,
  key: string,
  seat = 1,
): Promise<RawAnswer> =>
  send(address, '/services/bookings/seats', {
    body: {seat},
    headers: {'idempotency-key': key},
  });
