/** Differences between the manifests of two configurations. */
import type * as configuration from '@amaranthknot/configuration';

/** What has to change in one manifest to get another. */
export interface ManifestDifference {
  readonly entries: readonly configuration.SectionEntry[];
  readonly removed: readonly string[];
}

/** The manifest of no document. */
export const EMPTY_MANIFEST: configuration.Manifest = {entries: []};

const toMap = (manifest: configuration.Manifest): Map<string, string> =>
  new Map(manifest.entries.map(({name, digest}) => [name, digest]));

/** Finds the entries to set and the names to remove. */
export const compareManifests = (
  from: configuration.Manifest,
  to: configuration.Manifest,
): ManifestDifference => {
  const before = toMap(from);
  const after = toMap(to);
  return {
    entries: to.entries.filter(({name, digest}) => before.get(name) !== digest),
    removed: [...before.keys()].filter(name => !after.has(name)),
  };
};

/** Applies a difference to a manifest. */
export const applyDifference = (
  from: configuration.Manifest,
  difference: ManifestDifference,
): configuration.Manifest => {
  const after = toMap(from);
  for (const name of difference.removed) {
    after.delete(name);
  }
  for (const {name, digest} of difference.entries) {
    after.set(name, digest);
  }
  const entries = [...after]
    .map(([name, digest]) => ({name, digest}))
    .sort((a, b) => (a.name < b.name ? -1 : 1));
  return {entries};
};
