/** Formats a document as TOML. */
import * as toml from 'smol-toml';
import type * as documents from './document.js';
import * as targets from './target.js';

type Named = {readonly name: string};

const byName = <T extends Named>(
  items: readonly T[],
  write: (item: T) => Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> =>
  Object.fromEntries(items.map(item => [item.name, write(item)]));

const writeVersion = (version: documents.Version) => ({
  state: version.state,
  ...(version.successor === undefined ? {} : {successor: version.successor}),
});

const writeModel = (model: documents.Model) => ({
  cost_per_thousand_tokens: model.costPerThousandTokens,
  default_version: model.defaultVersion,
  versions: byName(model.versions, writeVersion),
});

const writeWorkspace = (workspace: documents.Workspace) => ({
  keys: workspace.keyDigests.map(digest => `sha256:${digest}`),
  quality_target: workspace.qualityTarget,
  priority: workspace.priority,
  weight: workspace.weight,
  ...(workspace.defaultCascade === undefined
    ? {}
    : {default_cascade: workspace.defaultCascade}),
  limits: {
    max_concurrent: workspace.limits.maxConcurrent,
    max_queued: workspace.limits.maxQueued,
    max_wait_ms: workspace.limits.maxWaitMs,
  },
});

const writeRollout = (rollout: documents.Rollout) => ({
  from: rollout.from,
  to: rollout.to,
  state: rollout.state,
  steps: rollout.steps,
});

/**
 * Converts a document to TOML data. The access rules become one rule per
 * workspace, which together allow the same as the original rules.
 */
export const writeTables = (
  document: documents.Document,
): Readonly<Record<string, unknown>> => ({
  models: byName(document.models, writeModel),
  cascades: byName(document.cascades, ({stages}) => ({stages})),
  services: byName(document.services, service => ({
    cost_per_call: service.costPerCall,
    idempotent_methods: service.idempotentMethods,
  })),
  workspaces: byName(document.workspaces, writeWorkspace),
  rules: document.workspaces.map(({name, allowed}) => ({
    workspaces: [name],
    allow: allowed.map(targets.formatTarget),
  })),
  zones: byName(document.zones, ({state}) => ({state})),
  rollouts: Object.fromEntries(
    document.rollouts.map(rollout => [rollout.model, writeRollout(rollout)]),
  ),
  ...(document.sessions === undefined
    ? {}
    : {sessions: {token_max_age_ms: document.sessions.tokenMaxAgeMs}}),
});

/** Formats a document as TOML that `parseDocument` reads as an equal one. */
export const formatDocument = (document: documents.Document): string =>
  toml.stringify(writeTables(document));
