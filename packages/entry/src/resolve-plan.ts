/** What a request asks for, as the stages its workspace allows. */
import * as purify from 'purify-ts';
import * as configuration from '@amaranthknot/configuration';
import type * as apiError from './api-error.js';

/** One stage: a model, and the versions that rules and request leave. */
export interface PlanStage {
  readonly model: configuration.Model;
  /** At least one; withdrawn ones included, whose successor takes over. */
  readonly versions: readonly string[];
}

/** A resolved request. */
export interface Plan {
  readonly name: string;
  readonly stages: readonly PlanStage[];
}

type Resolution = purify.Either<apiError.ApiError, Plan>;

/** Names that ask for the workspace's own cascade. */
const DEFAULT_NAMES: readonly string[] = ['', 'auto', 'default'];

const refuse = (
  code: apiError.ApiErrorCode,
  message: string,
): purify.Either<apiError.ApiError, never> =>
  purify.Left({code, ran: 'not_run', message});

const notFound = (name: string): Resolution =>
  refuse('model_not_found', `no model or cascade ${name} for this workspace`);

/** Stages that the rules leave; one without an allowed version is skipped. */
const resolveCascade = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  cascade: configuration.Cascade,
): Resolution => {
  const {allowed} = workspace;
  if (!configuration.isCascadeAllowed(allowed, cascade.name)) {
    return notFound(cascade.name);
  }
  const stages = cascade.stages
    .map(name => document.models.find(model => model.name === name))
    .filter(model => model !== undefined)
    .map(model => ({
      model,
      versions: configuration.listAllowedVersions(allowed, model, cascade),
    }))
    .filter(stage => stage.versions.length > 0);
  return purify.Right({name: cascade.name, stages});
};

/**
 * A model that exists but is not allowed answers as an unknown one, so that a
 * workspace cannot list what others use.
 */
const resolveModel = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  requested: string,
): Resolution => {
  const [name = '', version, ...rest] = requested.split('@');
  const model = document.models.find(found => found.name === name);
  if (!model || rest.length > 0) {
    return notFound(requested);
  }
  const versions = configuration
    .listAllowedVersions(workspace.allowed, model)
    .filter(found => version === undefined || found === version);
  return versions.length === 0
    ? notFound(requested)
    : purify.Right({name: requested, stages: [{model, versions}]});
};

const resolveName = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  requested: string,
): Resolution => {
  const name = DEFAULT_NAMES.includes(requested)
    ? (workspace.defaultCascade ?? '')
    : requested;
  if (name === '') {
    return refuse('invalid_request', 'name a model: there is no default');
  }
  const cascade = document.cascades.find(found => found.name === name);
  return cascade
    ? resolveCascade(document, workspace, cascade)
    : resolveModel(document, workspace, name);
};

type Resolved = Map<string, Resolution>;

const resolved = new WeakMap<configuration.Document, Resolved>();

const findResolved = (document: configuration.Document): Resolved => {
  const known = resolved.get(document);
  if (known) {
    return known;
  }
  const created: Resolved = new Map();
  resolved.set(document, created);
  return created;
};

/**
 * Resolves the `model` field of a request for a workspace, once for each
 * configuration in force. Refusals are not kept: callers choose the names, and
 * would fill the memory with them.
 */
export const resolvePlan = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  requested: string,
): Resolution => {
  const known = findResolved(document);
  const key = `${workspace.name}/${requested}`;
  const found = known.get(key);
  if (found) {
    return found;
  }
  const resolution = resolveName(document, workspace, requested);
  resolution.ifRight(() => known.set(key, resolution));
  return resolution;
};
