/**
 * Targets of access rules, and whether a list of them allows a request. Entry
 * instances call `isModelAllowed` before each run, also within a cascade, on a
 * retry and after a change of the configuration.
 */
import * as purify from 'purify-ts';
import type * as documents from './document.js';

/** Kinds of target; the text before the colon. */
export const TARGET_KINDS = ['cascade', 'model', 'service'] as const;

/** Formats a target as in rules: `cascade:x`, `model:x@v2`, `service:y`. */
export const formatTarget = (target: documents.Target): string => {
  switch (target.kind) {
    case 'cascade':
      return `cascade:${target.cascade}`;
    case 'model':
      return target.version === undefined
        ? `model:${target.model}`
        : `model:${target.model}@${target.version}`;
    case 'service':
      return `service:${target.service}`;
  }
};

const parseModel = (name: string): documents.Target => {
  const at = name.indexOf('@');
  return at < 0
    ? {kind: 'model', model: name}
    : {kind: 'model', model: name.slice(0, at), version: name.slice(at + 1)};
};

/** Parses a target; Nothing for text of another form. */
export const parseTarget = (text: string): purify.Maybe<documents.Target> => {
  const colon = text.indexOf(':');
  const name = text.slice(colon + 1);
  if (colon < 0 || name === '') {
    return purify.Nothing;
  }
  switch (text.slice(0, colon)) {
    case 'cascade':
      return purify.Just({kind: 'cascade', cascade: name});
    case 'model':
      return purify.Just(parseModel(name));
    case 'service':
      return purify.Just({kind: 'service', service: name});
    default:
      return purify.Nothing;
  }
};

/** Whether a workspace may send requests to a cascade. */
export const isCascadeAllowed = (
  allowed: readonly documents.Target[],
  cascade: string,
): boolean =>
  allowed.some(
    target => target.kind === 'cascade' && target.cascade === cascade,
  );

/** Whether a workspace may call a service. */
export const isServiceAllowed = (
  allowed: readonly documents.Target[],
  service: string,
): boolean =>
  allowed.some(
    target => target.kind === 'service' && target.service === service,
  );

/**
 * Whether a workspace may run a version of a model.
 *
 * A cascade target allows the cascade's stages within that cascade only. Targets
 * with a version pin the workspace to these versions, also within cascades, so
 * that a customer that vetted one version never gets another through a cascade
 * or a rollout. A target of the model without a version removes the pin.
 *
 * @param cascade the cascade that the request goes through, if any.
 */
export const isModelAllowed = (
  allowed: readonly documents.Target[],
  model: string,
  version: string,
  cascade?: documents.Cascade,
): boolean => {
  const targets = allowed.filter(
    target => target.kind === 'model' && target.model === model,
  );
  if (targets.length === 0) {
    return (
      cascade !== undefined &&
      cascade.stages.includes(model) &&
      isCascadeAllowed(allowed, cascade.name)
    );
  }
  return targets.some(
    target =>
      target.kind === 'model' &&
      (target.version === undefined || target.version === version),
  );
};

/**
 * Lists the versions of a model that a workspace may run by `isModelAllowed`,
 * including withdrawn ones. Empty if it may not run the model.
 */
export const listAllowedVersions = (
  allowed: readonly documents.Target[],
  model: documents.Model,
  cascade?: documents.Cascade,
): readonly string[] =>
  model.versions
    .map(version => version.name)
    .filter(version => isModelAllowed(allowed, model.name, version, cascade));
