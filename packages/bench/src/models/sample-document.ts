/** A configuration document of the design size, and its usual changes. */
import type * as configuration from '@amaranthknot/configuration';

const MODELS = 33;
const WORKSPACES = 60;
const ZONES = 9;
const ROLLOUTS = 4;
const DIGEST_LENGTH = 64;

/** Shares of changes to a zone and to a rollout; all others change a workspace. */
const ZONE_SHARE = 0.4;
const ROLLOUT_SHARE = 0.4;

const names = (prefix: string, count: number): readonly string[] =>
  Array.from(
    {length: count},
    (_, index) => `${prefix}-${String(index).padStart(2, '0')}`,
  );

const createModel = (name: string): configuration.Model => ({
  name,
  costPerThousandTokens: 1,
  defaultVersion: 'v1',
  versions: [
    {name: 'v1', state: 'active'},
    {name: 'v2', state: 'active'},
  ],
});

const createWorkspace = (name: string): configuration.Workspace => ({
  name,
  keyDigests: ['a'.repeat(DIGEST_LENGTH)],
  qualityTarget: 0.9,
  priority: 'interactive',
  weight: 1,
  limits: {maxConcurrent: 8, maxQueued: 32, maxWaitMs: 2_000},
  defaultCascade: 'usual',
  allowed: [{kind: 'cascade', cascade: 'usual'}],
});

/** Creates a document with 33 models, 60 workspaces and 9 zones. */
export const createSampleDocument = (): configuration.Document => ({
  models: names('model', MODELS).map(createModel),
  cascades: [{name: 'usual', stages: names('model', 3)}],
  services: [],
  workspaces: names('workspace', WORKSPACES).map(createWorkspace),
  zones: names('zone', ZONES).map(name => ({name, state: 'in'})),
  rollouts: names('model', ROLLOUTS).map(model => ({
    model,
    from: 'v1',
    to: 'v2',
    state: 'running',
    steps: [0.01, 0.1, 0.5, 1],
  })),
});

const replaceAt = <T>(
  items: readonly T[],
  index: number,
  change: (item: T) => T,
): readonly T[] => items.map((item, i) => (i === index ? change(item) : item));

/** Changes one zone, rollout or workspace, in the proportions of a usual day. */
export const changeDocument = (
  document: configuration.Document,
  random: () => number,
): configuration.Document => {
  const kind = random();
  const pick = (count: number) => Math.floor(random() * count);
  if (kind < ZONE_SHARE) {
    const zones = replaceAt(
      document.zones,
      pick(ZONES),
      (zone): configuration.Zone => ({
        ...zone,
        state: zone.state === 'in' ? 'out' : 'in',
      }),
    );
    return {...document, zones};
  }
  if (kind < ZONE_SHARE + ROLLOUT_SHARE) {
    const rollouts = replaceAt(
      document.rollouts,
      pick(ROLLOUTS),
      (rollout): configuration.Rollout => ({
        ...rollout,
        state: rollout.state === 'running' ? 'paused' : 'running',
      }),
    );
    return {...document, rollouts};
  }
  const workspaces = replaceAt(
    document.workspaces,
    pick(WORKSPACES),
    workspace => ({...workspace, weight: workspace.weight + 1}),
  );
  return {...document, workspaces};
};
