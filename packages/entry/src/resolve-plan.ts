/** What a request asks for, as the stages its workspace allows. */
import * as purify from 'purify-ts';
import type * as configuration from '@amaranthknot/configuration';
import type * as apiError from './api-error.js';

/** One stage: a model, and its version when the request or a rule names it. */
export interface PlanStage {
  readonly model: configuration.Model;
  /** Versions the workspace may use; undefined when any. */
  readonly versions?: readonly string[];
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

/** Whether the rules allow this cascade as a whole. */
const allowsCascade = (
  workspace: configuration.Workspace,
  cascade: string,
): boolean =>
  workspace.allowed.some(
    target => target.kind === 'cascade' && target.cascade === cascade,
  );

/**
 * Versions of a model that the rules allow: undefined for any, empty for none.
 */
export const findAllowedVersions = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  model: string,
): readonly string[] | undefined => {
  const versions: string[] = [];
  for (const target of workspace.allowed) {
    switch (target.kind) {
      case 'cascade': {
        const cascade = document.cascades.find(
          found => found.name === target.cascade,
        );
        if (cascade?.stages.includes(model)) {
          return undefined;
        }
        break;
      }
      case 'model':
        if (target.model !== model) {
          break;
        }
        if (target.version === undefined) {
          return undefined;
        }
        versions.push(target.version);
        break;
      case 'service':
        break;
    }
  }
  return versions;
};

const toStage = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  name: string,
  version?: string,
): PlanStage | undefined => {
  const model = document.models.find(found => found.name === name);
  const allowed = findAllowedVersions(document, workspace, name);
  if (!model) {
    return undefined;
  }
  if (version === undefined) {
    return allowed ? {model, versions: allowed} : {model};
  }
  const permitted = allowed === undefined || allowed.includes(version);
  return permitted ? {model, versions: [version]} : undefined;
};

const resolveCascade = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  cascade: configuration.Cascade,
): Resolution => {
  if (!allowsCascade(workspace, cascade.name)) {
    return refuse(
      'model_not_found',
      `no model or cascade ${cascade.name} for this workspace`,
    );
  }
  const stages = cascade.stages
    .map(stage => toStage(document, workspace, stage))
    .filter(stage => stage !== undefined);
  return purify.Right({name: cascade.name, stages});
};

const resolveModel = (
  document: configuration.Document,
  workspace: configuration.Workspace,
  name: string,
): Resolution => {
  const [model = '', version] = name.split('@');
  const allowed = findAllowedVersions(document, workspace, model);
  const stage = toStage(document, workspace, model, version);
  const isKnownVersion =
    version === undefined ||
    stage?.model.versions.some(found => found.name === version);
  // A model that exists but is not allowed answers as an unknown one, so that
  // a workspace cannot list what others use.
  if (!stage || allowed?.length === 0 || !isKnownVersion) {
    return refuse(
      'model_not_found',
      `no model or cascade ${name} for this workspace`,
    );
  }
  return purify.Right({name, stages: [stage]});
};

/** Resolves the `model` field of a request for a workspace. */
export const resolvePlan = (
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
