/** Checks access rules: their references, and what workspaces may then run. */
import type * as documents from './document.js';
import type * as problems from './problem.js';
import type * as tables from './document-tables.js';
import * as rules from './access.js';
import * as checkModels from './check-models.js';
import * as targets from './target.js';

const checkModelTarget = (
  path: problems.KeyPath,
  name: string,
  version: string | undefined,
  document: tables.Tables,
): readonly problems.Finding[] => {
  const model = document.models.entries.get(name);
  if (model === undefined || version === undefined) {
    const {names} = document.models;
    return checkModels.checkReference(path, 'model', name, names);
  }
  const versions = Object.keys(model.versions);
  return checkModels.checkReference(path, 'version', version, versions);
};

const checkTarget = (
  path: problems.KeyPath,
  text: string,
  document: tables.Tables,
): readonly problems.Finding[] => {
  const target = targets.parseTarget(text).extractNullable();
  if (target === null) {
    const message = `"${text}" is none of cascade:NAME, model:NAME, model:NAME@VERSION, service:NAME`;
    return [{path, code: 'invalid_value', message}];
  }
  switch (target.kind) {
    case 'cascade': {
      const {names} = document.cascades;
      return checkModels.checkReference(path, 'cascade', target.cascade, names);
    }
    case 'service': {
      const {names} = document.services;
      return checkModels.checkReference(path, 'service', target.service, names);
    }
    case 'model':
      return checkModelTarget(path, target.model, target.version, document);
  }
};

const checkRule = (
  {index, rule}: tables.IndexedRule,
  document: tables.Tables,
): readonly problems.Finding[] => [
  ...rule.workspaces.flatMap((name, item) => {
    const path = ['rules', index, 'workspaces', item];
    const {names} = document.workspaces;
    return name === rules.ALL_WORKSPACES
      ? []
      : checkModels.checkReference(path, 'workspace', name, names);
  }),
  ...rule.allow.flatMap((text, item) =>
    checkTarget(['rules', index, 'allow', item], text, document),
  ),
];

/** Whether a workspace may run at least one active version of a model. */
const canRun = (
  allowed: readonly documents.Target[],
  name: string,
  document: tables.Tables,
  cascade?: documents.Cascade,
): boolean => {
  const model = document.models.entries.get(name);
  if (model === undefined) {
    return true; // A missing or invalid model has a finding already.
  }
  return Object.entries(model.versions).some(
    ([version, {state}]) =>
      state === 'active' &&
      targets.isModelAllowed(allowed, name, version, cascade),
  );
};

/** Whether a workspace can run anything through a target. */
const isUsable = (
  target: documents.Target,
  allowed: readonly documents.Target[],
  document: tables.Tables,
): boolean => {
  switch (target.kind) {
    case 'service':
      return true;
    case 'model':
      return canRun(allowed, target.model, document);
    case 'cascade': {
      const name = target.cascade;
      const stages = document.cascades.entries.get(name)?.stages ?? [];
      return (
        stages.length === 0 ||
        stages.some(stage => canRun(allowed, stage, document, {name, stages}))
      );
    }
  }
};

const checkDefaultCascade = (
  name: string,
  allowed: readonly documents.Target[],
  document: tables.Tables,
): readonly problems.Finding[] => {
  const cascade = document.workspaces.entries.get(name)?.default_cascade;
  if (cascade === undefined) {
    return [];
  }
  const path = ['workspaces', name, 'default_cascade'];
  const {names} = document.cascades;
  if (!names.includes(cascade)) {
    return checkModels.checkReference(path, 'cascade', cascade, names);
  }
  const message = `no rule allows this workspace cascade "${cascade}"`;
  return targets.isCascadeAllowed(allowed, cascade)
    ? []
    : [{path, code: 'cascade_not_allowed', message}];
};

const checkWorkspace = (
  name: string,
  allowed: readonly documents.Target[],
  document: tables.Tables,
): readonly problems.Finding[] => {
  const message = 'the rules leave this workspace with nothing it may run';
  const path = ['workspaces', name];
  return [
    ...(allowed.some(target => isUsable(target, allowed, document))
      ? []
      : [{path, code: 'nothing_allowed' as const, message}]),
    ...checkDefaultCascade(name, allowed, document),
  ];
};

/**
 * Checks that at least one workspace of a cascade may run each stage; other
 * stages are never reached. A cascade that no rule allows is not checked, as it
 * may be in preparation.
 */
const checkStageReachability = (
  cascade: documents.Cascade,
  access: rules.Access,
  document: tables.Tables,
): readonly problems.Finding[] => {
  const users = [...access.values()].filter(allowed =>
    targets.isCascadeAllowed(allowed, cascade.name),
  );
  if (users.length === 0) {
    return [];
  }
  return cascade.stages.flatMap((stage, index) => {
    const path = ['cascades', cascade.name, 'stages', index];
    const message = `no workspace that uses the cascade may run "${stage}"`;
    return users.some(allowed => canRun(allowed, stage, document, cascade))
      ? []
      : [{path, code: 'unreachable_stage' as const, message}];
  });
};

/** Checks the rules, and that each workspace and cascade can run something. */
export const checkAccess = (
  document: tables.Tables,
  access: rules.Access,
): readonly problems.Finding[] => {
  const findings = document.rules.flatMap(rule => checkRule(rule, document));
  if (document.hasInvalidRules) {
    return findings; // Without all rules, it is unknown what is allowed.
  }
  return [
    ...findings,
    ...[...access].flatMap(([name, allowed]) =>
      checkWorkspace(name, allowed, document),
    ),
    ...[...document.cascades.entries].flatMap(([name, {stages}]) =>
      checkStageReachability({name, stages}, access, document),
    ),
  ];
};
