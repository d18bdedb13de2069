/**
 * Applies updates that move a configuration to a later generation, never to an
 * earlier one.
 */
import * as configuration from '@amaranthknot/configuration';
import type * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as sectionHistory from './section-history.js';
import * as compareManifests from './util/compare-manifests.js';

/** A complete, checked configuration. */
export interface ActiveConfiguration {
  readonly environment: string;
  readonly generation: number;
  readonly digest: string;
  readonly manifest: configuration.Manifest;
  /** Contents of all sections by digest. */
  readonly sections: ReadonlyMap<string, unknown>;
  readonly document: configuration.Document;
  readonly history: sectionHistory.SectionHistory;
}

/**
 * Reason why an update was not applied.
 *
 * - `not_newer`: the same or a later generation is active.
 * - `other_base`: the change starts at a generation that is not active here.
 * - `corrupt`: contents do not match their digest, or can't be joined.
 */
export interface UpdateError {
  readonly code: 'not_newer' | 'other_base' | 'corrupt';
  readonly message: string;
}

const fail = (
  code: UpdateError['code'],
  message: string,
): purify.Either<UpdateError, never> => purify.Left({code, message});

/** A later configuration, not yet checked. */
export interface ConfigurationUpdate {
  readonly environment: string;
  readonly generation: number;
  readonly digest: string;
  readonly manifest: configuration.Manifest;
  /**
   * Contents by digest; those that the active configuration has may be missing.
   */
  readonly contents: ReadonlyMap<string, unknown>;
  readonly history: sectionHistory.SectionHistory;
}

/**
 * Contents of a manifest's sections by digest: the known ones, and else the
 * fresh ones.
 */
const pickSections = (
  manifest: configuration.Manifest,
  known: ReadonlyMap<string, unknown> | undefined,
  fresh: ReadonlyMap<string, unknown>,
): ReadonlyMap<string, unknown> =>
  new Map(
    Object.values(manifest.sections).map(digest => [
      digest,
      known?.get(digest) ?? fresh.get(digest),
    ]),
  );

/**
 * Applies an update to the active configuration, if any. Only a higher
 * generation is accepted: a stale answer of the platform, or a peer that is
 * behind, has the same or a lower one and changes nothing.
 */
export const applyUpdate = (
  current: ActiveConfiguration | undefined,
  update: ConfigurationUpdate,
): purify.Either<UpdateError, ActiveConfiguration> => {
  const {environment, generation, digest, manifest, history} = update;
  if (generation <= (current?.generation ?? 0)) {
    return fail(
      'not_newer',
      `generation ${generation} is not newer than the active one`,
    );
  }
  if (configuration.digestManifest(manifest) !== digest) {
    return fail('corrupt', `the manifest does not match its digest ${digest}`);
  }
  const sections = pickSections(manifest, current?.sections, update.contents);
  return configuration
    .joinSections(manifest, each => sections.get(each))
    .mapLeft(([error]) => ({
      code: 'corrupt' as const,
      message: error?.message ?? '',
    }))
    .map(document => ({
      environment,
      generation,
      digest,
      manifest,
      sections,
      document,
      history,
    }));
};

/** Reads a peer's change as an update of the active configuration. */
export const parseChange = (
  current: ActiveConfiguration | undefined,
  change: protocol.ConfigurationChange,
): purify.Either<UpdateError, ConfigurationUpdate> => {
  const {environment, generation, digest, baseGeneration, since} = change;
  if (baseGeneration !== undefined && baseGeneration !== current?.generation) {
    return fail(
      'other_base',
      `the change starts at generation ${baseGeneration}, which is not active`,
    );
  }
  const base = baseGeneration === undefined ? undefined : current;
  const sections = change.sections.map(({name, content}) => ({
    entry: {name, digest: configuration.digestValue(content)},
    content,
  }));
  const manifest = compareManifests.applyDifference(
    base?.manifest ?? compareManifests.EMPTY_MANIFEST,
    {
      entries: sections.map(({entry}) => entry),
      removed: change.removed.map(({name}) => name),
    },
  );
  return purify.Right({
    environment,
    generation,
    digest,
    manifest,
    contents: new Map(
      sections.map(({entry, content}) => [entry.digest, content]),
    ),
    history: sectionHistory.extendHistory(
      base?.history ?? {...sectionHistory.EMPTY_HISTORY, since},
      change.sections,
      change.removed,
    ),
  });
};

/**
 * Describes the change to `to` from generation `have`, or from nothing if the
 * history of `to` does not reach back to `have`. The change may contain
 * sections that do not differ, but never lacks one that does: each section that
 * differs was changed after `have`.
 */
export const createChange = (
  have: number,
  to: ActiveConfiguration,
): protocol.ConfigurationChange => {
  const {environment, generation, digest, manifest, sections, history} = to;
  const {changedAt, removedAt, since} = history;
  const isPartial = have > 0 && have >= since;
  const after = isPartial ? have : 0;
  return {
    environment,
    generation,
    digest,
    ...(isPartial ? {baseGeneration: have} : {}),
    since,
    sections: sectionHistory.listChangesAfter(changedAt, after).map(each => ({
      ...each,
      content: sections.get(manifest.sections[each.name] ?? ''),
    })),
    removed: sectionHistory.listChangesAfter(removedAt, after),
  };
};
