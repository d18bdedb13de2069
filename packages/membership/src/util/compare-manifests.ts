/** Differences between the manifests of two configurations. */
import * as configuration from '@amaranthknot/configuration';

/** A named section and the digest of its content. */
export interface SectionEntry {
  readonly name: string;
  readonly digest: string;
}

/** What to change in one manifest to get another. */
export interface ManifestDifference {
  readonly entries: readonly SectionEntry[];
  readonly removed: readonly string[];
}

/** The manifest of no document. */
export const EMPTY_MANIFEST: configuration.Manifest = {sections: {}};

/** Finds the entries to set and the names to remove. */
export const compareManifests = (
  from: configuration.Manifest,
  to: configuration.Manifest,
): ManifestDifference => ({
  entries: configuration
    .listChangedSections(from, to)
    .map(name => ({name, digest: to.sections[name] ?? ''})),
  removed: Object.keys(from.sections).filter(
    name => !Object.hasOwn(to.sections, name),
  ),
});

/** Applies a difference to a manifest. */
export const applyDifference = (
  from: configuration.Manifest,
  difference: ManifestDifference,
): configuration.Manifest => {
  const after = new Map(Object.entries(from.sections));
  for (const name of difference.removed) {
    after.delete(name);
  }
  for (const {name, digest} of difference.entries) {
    after.set(name, digest);
  }
  return {sections: Object.fromEntries(after)};
};
