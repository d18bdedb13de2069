/**
 * Resolves the `model` field of a request to stages that its workspace allows.
 */
import * as purify from 'purify-ts';
import * as configuration from '@amaranthknot/configuration';
import type * as apiError from './api-error.js';

/**
 * One stage: a model, and its versions that the rules and the request allow.
 */
export interface PlanStage {
  readonly model: configuration.Model;
  /** At least one; may be withdrawn, in which case its successor is used. */
  readonly versions: readonly string[];
}

/** What a `model` field resolves to: a cascade's stages, or one model. */
export interface Plan {
  readonly name: string;
  readonly stages: readonly PlanStage[];
}

type Resolution = purify.Either<apiError.ApiError, Plan>;

/** Names that stand for the workspace's default cascade. */
const DEFAULT_NAMES: readonly string[] = ['', 'auto', 'default'];

const refuse = (
  code: apiError.ApiErrorCode,
  message: string,
): purify.Either<apiError.ApiError, never> =>
  purify.Left({code, ran: 'not_run', message});

const notFound = (name: string): Resolution =>
  refuse('model_not_found', `no model or cascade ${name} for this workspace`);

/** Resolves a cascade; stages without an allowed version are left out. */
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
 * Resolves a model. One that exists but is not allowed is refused like an
 * unknown one, so that a workspace cannot find out what others use.
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

type PlanCache = Map<string, Resolution>;

const planCaches = new WeakMap<configuration.Document, PlanCache>();

const getPlanCache = (document: configuration.Document): PlanCache => {
  const known = planCaches.get(document);
  if (known) {
    return known;
  }
  const created: PlanCache = new Map();
  planCaches.set(document, created);
  return created;
};

/**
 * Resolves the `model` field of a request for a workspace. Plans are cached per
 * document; refusals are not, as callers choose the names and could fill the
 * memory with them.
 */
export const resolvePlan = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  requested: string,
): Resolution => {
  const cache = getPlanCache(document);
  const key = `${workspace.name}/${requested}`;
  const found = cache.get(key);
  if (found) {
    return found;
  }
  const resolution = resolveName(document, workspace, requested);
  resolution.ifRight(() => cache.set(key, resolution));
  return resolution;
};
