/** Reads from the platform what an instance lacks of an accepted head. */
import type * as configuration from '@amaranthknot/configuration';
import type * as platform from '@amaranthknot/platform';
import * as purify from 'purify-ts';
import * as configurationHead from './configuration-head.js';
import type * as configurationStep from './configuration-step.js';
import * as compareManifests from './util/compare-manifests.js';

/**
 * Sections read at a time. A first start reads every section; eight at a time
 * keep it under a second at a few milliseconds a call, without a burst of
 * hundreds on the platform.
 */
const PARALLEL_READS = 8;

/** Builds the manifest from the head's latest steps, when they reach back. */
const followSteps = (
  current: configurationStep.ConfigurationInForce | undefined,
  head: configurationHead.Head,
): configuration.Manifest | undefined => {
  const from = current?.generation ?? 0;
  const steps = head.steps.filter(step => step.generation > from);
  if (steps.length !== head.generation - from) {
    return undefined;
  }
  return steps.reduce(
    compareManifests.applyDifference,
    current?.manifest ?? compareManifests.EMPTY_MANIFEST,
  );
};

const readSections = async (
  store: platform.ObjectStore,
  digests: readonly string[],
): Promise<platform.StoreResult<ReadonlyMap<string, unknown>>> => {
  const contents = new Map<string, unknown>();
  for (let i = 0; i < digests.length; i += PARALLEL_READS) {
    const batch = digests.slice(i, i + PARALLEL_READS);
    const results = await Promise.all(
      batch.map(digest => configurationHead.readSection(store, digest)),
    );
    const values = purify.Either.sequence(results);
    if (values.isLeft()) {
      return values;
    }
    const read = values.orDefault([]);
    batch.forEach((digest, j) => {
      contents.set(digest, read[j]);
    });
  }
  return purify.Right(contents);
};

/** Reads the step from what is in force to `head`. */
export const readStep = async (
  store: platform.ObjectStore,
  environment: string,
  current: configurationStep.ConfigurationInForce | undefined,
  head: configurationHead.Head,
): Promise<platform.StoreResult<configurationStep.ConfigurationStep>> => {
  const followed = followSteps(current, head);
  const manifest = followed
    ? purify.Right(followed)
    : await configurationHead.readManifest(store, head.digest);
  if (manifest.isLeft()) {
    return manifest;
  }
  const next = manifest.orDefault(compareManifests.EMPTY_MANIFEST);
  const missing = next.entries
    .map(entry => entry.digest)
    .filter(digest => !current?.sections.has(digest));
  const contents = await readSections(store, [...new Set(missing)]);
  return contents.map(read => ({
    environment,
    generation: head.generation,
    digest: head.digest,
    manifest: next,
    contents: read,
  }));
};
