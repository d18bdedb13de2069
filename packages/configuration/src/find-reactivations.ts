/**
 * Finds zones, versions and rollouts that a new document would reactivate.
 *
 * Failure: operators take a zone out, pause a rollout or withdraw a version by
 * command. A document written before that is then applied or promoted for
 * another reason. It would undo the command unnoticed, and the zone or version
 * would get work again. Commands refuse such a document unless the operator
 * confirms the reactivation.
 */
import type * as diffs from './diff-documents.js';
import type * as documents from './document.js';
import * as problems from './problem.js';

const createChange = (
  path: problems.KeyPath,
  before: string,
  after: string | undefined,
): diffs.Change => {
  const key = problems.formatKey(path);
  return after === undefined
    ? {key, kind: 'removed', before}
    : {key, kind: 'changed', before, after};
};

/** Finds zones that were out and are in or no longer named; both get work. */
const findReactivatedZones = (
  before: documents.Document,
  after: documents.Document,
): readonly diffs.Change[] =>
  before.zones
    .filter(zone => zone.state === 'out')
    .map(({name}) => after.zones.find(zone => zone.name === name) ?? {name})
    .filter(zone => !('state' in zone) || zone.state === 'in')
    .map(zone => {
      const state = 'state' in zone ? zone.state : undefined;
      return createChange(['zones', zone.name, 'state'], 'out', state);
    });

const listWithdrawn = (
  document: documents.Document,
): readonly (readonly [string, string])[] =>
  document.models.flatMap(model =>
    model.versions
      .filter(version => version.state === 'withdrawn')
      .map(version => [model.name, version.name] as const),
  );

const findReactivatedVersions = (
  before: documents.Document,
  after: documents.Document,
): readonly diffs.Change[] =>
  listWithdrawn(before)
    .filter(([model, version]) =>
      after.models
        .find(found => found.name === model)
        ?.versions.some(
          found => found.name === version && found.state === 'active',
        ),
    )
    .map(([model, version]) =>
      createChange(
        ['models', model, 'versions', version, 'state'],
        'withdrawn',
        'active',
      ),
    );

const findRestartedRollouts = (
  before: documents.Document,
  after: documents.Document,
): readonly diffs.Change[] =>
  before.rollouts
    .filter(rollout => rollout.state !== 'running')
    .filter(rollout =>
      after.rollouts.some(
        found =>
          found.model === rollout.model &&
          found.to === rollout.to &&
          found.state === 'running',
      ),
    )
    .map(({model, state}) =>
      createChange(['rollouts', model, 'state'], state, 'running'),
    );

/**
 * Lists withdrawn versions that become active, stopped rollouts that run again
 * and zones that come back in, if `after` replaces `before`.
 */
export const findReactivations = (
  before: documents.Document,
  after: documents.Document,
): readonly diffs.Change[] => [
  ...findReactivatedVersions(before, after),
  ...findRestartedRollouts(before, after),
  ...findReactivatedZones(before, after),
];
