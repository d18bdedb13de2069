/** Moves a configuration to a later generation; never to an earlier one. */
import * as configuration from '@amaranthknot/configuration';
import type * as protocol from '@amaranthknot/protocol';
import * as purify from 'purify-ts';
import * as compareManifests from './util/compare-manifests.js';

/** A whole, checked configuration. */
export interface ConfigurationInForce {
  readonly environment: string;
  readonly generation: number;
  readonly digest: string;
  readonly manifest: configuration.Manifest;
  /** Contents of all sections by digest. */
  readonly sections: ReadonlyMap<string, unknown>;
  readonly document: configuration.Document;
}

/**
 * Why a step was not taken.
 *
 * - `not_newer`: the same or a later generation is in force.
 * - `other_base`: the step starts at a generation that is not in force here.
 * - `corrupt`: a content does not match its digest, or can not be joined.
 */
export interface StepError {
  readonly code: 'not_newer' | 'other_base' | 'corrupt';
  readonly message: string;
}

const fail = (
  code: StepError['code'],
  message: string,
): purify.Either<StepError, never> => purify.Left({code, message});

/** Contents of a manifest's sections: those that are known, else the fresh. */
const pickSections = (
  manifest: configuration.Manifest,
  known: ReadonlyMap<string, unknown> | undefined,
  fresh: Readonly<Record<string, unknown>>,
): ReadonlyMap<string, unknown> =>
  new Map(
    Object.values(manifest.sections).map(digest => [
      digest,
      known?.get(digest) ?? fresh[digest],
    ]),
  );

/**
 * Takes a step from what is in force, if any. Only a higher generation is
 * taken: a stale answer of the platform, or a peer that lags, shows as the
 * same or a lower number and changes nothing.
 */
export const takeStep = (
  current: ConfigurationInForce | undefined,
  step: protocol.ConfigurationChange,
): purify.Either<StepError, ConfigurationInForce> => {
  const {environment, generation, digest, baseGeneration} = step;
  if (generation <= (current?.generation ?? 0)) {
    return fail('not_newer', `generation ${generation} is not newer`);
  }
  if (baseGeneration !== undefined && baseGeneration !== current?.generation) {
    return fail('other_base', `the step starts at ${baseGeneration}`);
  }
  const base =
    baseGeneration === undefined
      ? compareManifests.EMPTY_MANIFEST
      : (current?.manifest ?? compareManifests.EMPTY_MANIFEST);
  const manifest = compareManifests.applyDifference(base, step);
  if (configuration.digestManifest(manifest) !== digest) {
    return fail('corrupt', `the manifest does not match ${digest}`);
  }
  const picked = pickSections(manifest, current?.sections, step.sections);
  return configuration
    .joinSections(manifest, each => picked.get(each))
    .mapLeft(([error]) => ({
      code: 'corrupt' as const,
      message: `${error?.section ?? ''}: ${error?.message ?? ''}`,
    }))
    .map(document => ({
      environment,
      generation,
      digest,
      manifest,
      sections: picked,
      document,
    }));
};

/** Describes the step to `to`, from `base` or from nothing. */
export const describeStep = (
  base:
    | {readonly generation: number; readonly manifest: configuration.Manifest}
    | undefined,
  to: ConfigurationInForce,
): protocol.ConfigurationChange => {
  const difference = compareManifests.compareManifests(
    base?.manifest ?? compareManifests.EMPTY_MANIFEST,
    to.manifest,
  );
  const contents = difference.entries.map(
    ({digest}) => [digest, to.sections.get(digest)] as const,
  );
  return {
    environment: to.environment,
    generation: to.generation,
    digest: to.digest,
    ...(base ? {baseGeneration: base.generation} : {}),
    entries: [...difference.entries],
    removed: [...difference.removed],
    sections: Object.fromEntries(contents),
  };
};
