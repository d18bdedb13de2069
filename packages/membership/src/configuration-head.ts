/**
 * The accepted configuration of an environment, as the platform keeps it:
 * immutable content-addressed objects, and one head that names the digest in
 * force. Only the head's conditional update puts a configuration in force.
 */
import * as configuration from '@amaranthknot/configuration';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as compareManifests from './util/compare-manifests.js';

/** Kind of the heads, one object for each environment. */
export const HEAD_KIND = 'configuration_head';

/** Kind of sections and manifests, each named by its digest. */
export const SECTION_KIND = 'configuration_section';

/** How one generation differs from the one before. */
export interface HeadDelta {
  readonly generation: number;
  readonly digest: string;
  readonly entries: readonly compareManifests.SectionEntry[];
  readonly removed: readonly string[];
}

/** The configuration in force for an environment. */
export interface Head {
  /** Grows by one with each publication. */
  readonly generation: number;
  /** Digest of the manifest. */
  readonly digest: string;
  /** Latest steps, oldest first; a watcher behind by few needs no manifest. */
  readonly steps: readonly HeadDelta[];
  /** Identities of the latest publications, the newest last. */
  readonly publications: readonly string[];
}

/** A head with the version that the platform keeps it under. */
export interface StoredHead {
  readonly head: Head;
  readonly version: number;
}

/**
 * Reads the head of an environment; undefined when nothing is published yet.
 * The platform may answer with an older one.
 */
export const readHead = async (
  store: ports.ObjectStore,
  environment: string,
): Promise<ports.StoreResult<StoredHead | undefined>> => {
  const result = await store.get(HEAD_KIND, environment);
  return result
    .map((object): StoredHead | undefined => parseHead(object))
    .chainLeft(error =>
      error.code === 'not_found' ? purify.Right(undefined) : purify.Left(error),
    );
};

/** Reads a head from an object of kind `HEAD_KIND`. */
export const parseHead = (object: ports.StoredObject): StoredHead => ({
  head: object.value as Head,
  version: object.version,
});

/** Reads a section or manifest; its content is checked against its name. */
export const readSection = async (
  store: ports.ObjectStore,
  digest: string,
): Promise<ports.StoreResult<unknown>> => {
  const result = await store.get(SECTION_KIND, digest);
  return result.chain(({value}) =>
    configuration.isSectionIntact({name: digest, digest, value})
      ? purify.Right(value)
      : purify.Left({
          code: 'unavailable' as const,
          message: `section ${digest} has another content`,
        }),
  );
};

/** Reads the manifest with this digest. */
export const readManifest = async (
  store: ports.ObjectStore,
  digest: string,
): Promise<ports.StoreResult<configuration.Manifest>> =>
  (await readSection(store, digest)).map(
    value => value as configuration.Manifest,
  );

/** Reads a whole document by the digest of its manifest. */
export const readDocument = async (
  store: ports.ObjectStore,
  digest: string,
): Promise<ports.StoreResult<configuration.Document>> => {
  const manifest = await readManifest(store, digest);
  if (manifest.isLeft()) {
    return manifest;
  }
  const {sections} = manifest.unsafeCoerce();
  const contents = new Map<string, unknown>();
  for (const each of Object.values(sections)) {
    const section = await readSection(store, each);
    if (section.isLeft()) {
      return section;
    }
    contents.set(each, section.extract());
  }
  return configuration
    .joinSections({sections}, each => contents.get(each))
    .mapLeft(([error]) => ({
      code: 'unavailable' as const,
      message: `${error?.section ?? ''}: ${error?.message ?? ''}`,
    }));
};
