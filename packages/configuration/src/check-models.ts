/** Checks models, versions, cascades and rollouts against each other. */
import type * as problems from './problem.js';
import type * as tables from './document-tables.js';
import * as nearest from './util/find-nearest.js';

type ModelEntry = tables.Entry<'models'>;
type RolloutEntry = tables.Entry<'rollouts'>;

/** Reports a name that is not among the existing `names`. */
export const checkReference = (
  path: problems.KeyPath,
  kind: string,
  name: string,
  names: readonly string[],
): readonly problems.Finding[] =>
  names.includes(name)
    ? []
    : [
        {
          path,
          code: 'dangling_name',
          message: `there is no ${kind} "${name}"`,
          nearest: nearest.findNearest(name, names),
        },
      ];

/** Finds a version by name; inherited keys such as `constructor` are none. */
const findVersion = (
  model: ModelEntry,
  name: string,
): ModelEntry['versions'][string] | undefined =>
  Object.hasOwn(model.versions, name) ? model.versions[name] : undefined;

/**
 * Checks that the chain of successors ends in an active version. A session of a
 * withdrawn version moves to its successor; without an active one, all requests
 * of the session would be refused.
 */
const checkSuccessors = (
  path: problems.KeyPath,
  model: ModelEntry,
  start: string,
): readonly problems.Finding[] => {
  const seen = new Set<string>();
  let name = start;
  for (;;) {
    const version = findVersion(model, name);
    if (version === undefined || version.state === 'active') {
      return [];
    }
    if (seen.has(name)) {
      const message = `successors go round in a circle: ${[...seen, name].join(' -> ')}`;
      return [{path, code: 'successor_cycle', message}];
    }
    seen.add(name);
    if (version.successor === undefined) {
      const message = `withdrawn version "${start}" has no live successor`;
      return [{path, code: 'no_live_successor', message}];
    }
    name = version.successor;
  }
};

const checkVersion = (
  path: problems.KeyPath,
  model: ModelEntry,
  name: string,
): readonly problems.Finding[] => {
  const names = Object.keys(model.versions);
  const successor = findVersion(model, name)?.successor;
  const ownPath = [...path, 'versions', name];
  return [
    ...(successor === undefined
      ? []
      : checkReference([...ownPath, 'successor'], 'version', successor, names)),
    ...checkSuccessors(ownPath, model, name),
  ];
};

const checkModel = (
  name: string,
  model: ModelEntry,
): readonly problems.Finding[] => {
  const path = ['models', name];
  const defaultPath = [...path, 'default_version'];
  const names = Object.keys(model.versions);
  const defaultName = model.default_version;
  const isWithdrawn = findVersion(model, defaultName)?.state === 'withdrawn';
  const message = `default version "${defaultName}" is withdrawn`;
  return [
    ...checkReference(defaultPath, 'version', defaultName, names),
    ...(isWithdrawn
      ? [{path: defaultPath, code: 'default_withdrawn' as const, message}]
      : []),
    ...names.flatMap(version => checkVersion(path, model, version)),
  ];
};

const checkStage = (
  path: problems.KeyPath,
  stages: readonly string[],
  index: number,
  models: tables.Tables['models'],
): readonly problems.Finding[] => {
  const stage = stages[index] ?? '';
  const previousStage = stages[index - 1] ?? '';
  const cost = models.entries.get(stage)?.cost_per_thousand_tokens;
  const previousCost =
    models.entries.get(previousStage)?.cost_per_thousand_tokens;
  if (stages.indexOf(stage) < index) {
    const message = `stage "${stage}" stands twice; the second is never reached`;
    return [{path, code: 'duplicate', message}];
  }
  if (
    cost === undefined ||
    previousCost === undefined ||
    previousCost <= cost
  ) {
    return checkReference(path, 'model', stage, models.names);
  }
  const message = `"${stage}" costs less (${cost}) than "${previousStage}" (${previousCost}) before it`;
  return [{path, code: 'cost_order', message}];
};

const checkCascade = (
  name: string,
  stages: readonly string[],
  models: tables.Tables['models'],
): readonly problems.Finding[] =>
  stages.flatMap((_, index) =>
    checkStage(['cascades', name, 'stages', index], stages, index, models),
  );

const checkSteps = (
  path: problems.KeyPath,
  steps: readonly number[],
): readonly problems.Finding[] => {
  const stepsPath = [...path, 'steps'];
  const invalidIndex = steps.findIndex(
    (step, index) => index > 0 && step <= (steps[index - 1] ?? 0),
  );
  const findings: problems.Finding[] = [];
  if (invalidIndex >= 0) {
    const message = `step ${invalidIndex} must be above the step before it, ${steps[invalidIndex - 1]}, got ${steps[invalidIndex]}`;
    findings.push({
      path: [...stepsPath, invalidIndex],
      code: 'steps_not_growing',
      message,
    });
  }
  if (steps.at(-1) !== 1) {
    const message = `the last step must be 1, got ${steps.at(-1)}`;
    findings.push({path: stepsPath, code: 'steps_not_complete', message});
  }
  return findings;
};

/**
 * Checks that a version exists and, unless the rollout is withdrawn too, is not
 * withdrawn: it would get new work.
 */
const checkRolloutVersion = (
  path: problems.KeyPath,
  side: 'from' | 'to',
  rollout: RolloutEntry,
  model: ModelEntry,
): readonly problems.Finding[] => {
  const name = rollout[side];
  const names = Object.keys(model.versions);
  const version = findVersion(model, name);
  if (version?.state !== 'withdrawn' || rollout.state === 'withdrawn') {
    return checkReference([...path, side], 'version', name, names);
  }
  const message = `version "${name}" is withdrawn, but the rollout is ${rollout.state}`;
  return [{path: [...path, side], code: 'rollout_withdrawn', message}];
};

const checkRollout = (
  name: string,
  rollout: RolloutEntry,
  models: tables.Tables['models'],
): readonly problems.Finding[] => {
  const path = ['rollouts', name];
  const model = models.entries.get(name);
  const message = `rolls "${rollout.from}" out to itself`;
  return [
    ...checkReference(path, 'model', name, models.names),
    ...(model ? checkRolloutVersion(path, 'from', rollout, model) : []),
    ...(model ? checkRolloutVersion(path, 'to', rollout, model) : []),
    ...(rollout.from === rollout.to
      ? [{path: [...path, 'to'], code: 'rollout_to_itself' as const, message}]
      : []),
    ...checkSteps(path, rollout.steps),
  ];
};

/** Checks all models, cascades and rollouts of a document. */
export const checkModels = (
  document: tables.Tables,
): readonly problems.Finding[] => [
  ...[...document.models.entries].flatMap(([name, model]) =>
    checkModel(name, model),
  ),
  ...[...document.cascades.entries].flatMap(([name, cascade]) =>
    checkCascade(name, cascade.stages, document.models),
  ),
  ...[...document.rollouts.entries].flatMap(([name, rollout]) =>
    checkRollout(name, rollout, document.models),
  ),
];
