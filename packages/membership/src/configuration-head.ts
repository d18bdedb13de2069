/**
 * The accepted configuration of an environment, as the platform stores it:
 * immutable content-addressed objects, and one head that names the active
 * digest. Only the conditional update of the head makes a configuration active.
 */
import * as configuration from '@amaranthknot/configuration';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import type * as compareManifests from './util/compare-manifests.js';

/** Object kind of the heads; one object for each environment. */
export const HEAD_KIND = 'configuration_head';

/**
 * Object kind of sections and manifests; each object is named by its digest.
 */
export const SECTION_KIND = 'configuration_section';

/** How one generation differs from the previous one. */
export interface HeadDelta {
  readonly generation: number;
  readonly digest: string;
  readonly entries: readonly compareManifests.SectionEntry[];
  readonly removed: readonly string[];
}

/** The head of an environment, which names its active configuration. */
export interface Head {
  /** Increases by one with each publication. */
  readonly generation: number;
  /** Digest of the manifest. */
  readonly digest: string;
  /**
   * Latest deltas, oldest first. A watcher that is only few generations behind
   * needs no manifest.
   */
  readonly steps: readonly HeadDelta[];
  /** Ids of the latest publications, newest last. */
  readonly publications: readonly string[];
}

/** A head, and its object version at the platform. */
export interface StoredHead {
  readonly head: Head;
  readonly version: number;
}

/**
 * Reads the head of an environment; undefined if nothing is published yet. The
 * platform may answer with an older head.
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

/** Reads a section or manifest, and checks its content against its digest. */
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
          message: `content of section ${digest} does not match its digest`,
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
