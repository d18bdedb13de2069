/** Compares manifests of two configurations. */
import type * as sections from '../sections.js';

/** What has to change in one manifest to get another. */
export interface ManifestDifference {
  readonly entries: readonly sections.SectionEntry[];
  readonly removed: readonly string[];
}

const toMap = (manifest: sections.Manifest): Map<string, string> =>
  new Map(manifest.entries.map(({name, digest}) => [name, digest]));

/** Finds the entries to set and the names to remove. */
export const compareManifests = (
  from: sections.Manifest,
  to: sections.Manifest,
): ManifestDifference => {
  const before = toMap(from);
  const after = toMap(to);
  return {
    entries: to.entries.filter(
      entry => before.get(entry.name) !== entry.digest,
    ),
    removed: [...before.keys()].filter(name => !after.has(name)),
  };
};

/** Applies a difference to a manifest. */
export const applyDifference = (
  from: sections.Manifest,
  difference: ManifestDifference,
): sections.Manifest => {
  const after = toMap(from);
  for (const name of difference.removed) {
    after.delete(name);
  }
  for (const {name, digest} of difference.entries) {
    after.set(name, digest);
  }
  const names = [...after.keys()].sort((a, b) => (a < b ? -1 : 1));
  return {
    entries: names.map(name => ({name, digest: after.get(name) ?? ''})),
  };
};
