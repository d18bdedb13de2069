/**
 * What access rules allow, and what that means for a request. The entry path
 * asks `isModelAllowed` before each run, also within a cascade, on a retry and
 * after the configuration changed.
 */
import * as purify from 'purify-ts';
import type * as documents from './document.js';

/** Kinds of target, as written before the colon. */
export const TARGET_KINDS = ['cascade', 'model', 'service'] as const;

/** Writes a target as rules do: `cascade:x`, `model:x@v2`, `service:y`. */
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

/** Reads a target; nothing for text of another form. */
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
 * A cascade allows its stages within the cascade only; pass the cascade that
 * the request goes through. A target with a version pins the workspace to the
 * versions it names, in cascades as well, so that a firm which vetted one
 * version never meets another by way of a cascade or a roll-out. A target of
 * the model without a version lifts the pin.
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
 * Versions of a model that a workspace may run, withdrawn ones included, by
 * `isModelAllowed`. Empty when it may not run the model at all.
 */
export const listAllowedVersions = (
  allowed: readonly documents.Target[],
  model: documents.Model,
  cascade?: documents.Cascade,
): readonly string[] =>
  model.versions
    .map(version => version.name)
    .filter(version => isModelAllowed(allowed, model.name, version, cascade));
