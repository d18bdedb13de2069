/**
 * Publishes a checked document as the active configuration of an environment,
 * as a whole or not at all.
 */
import * as crypto from 'node:crypto';
import * as configuration from '@amaranthknot/configuration';
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as configurationHead from './configuration-head.js';
import * as headUpdate from './head-update.js';
import * as compareManifests from './util/compare-manifests.js';

/**
 * Deltas kept in a head. Watchers see each generation within a second at the
 * design rate of 1.05 changes/s. Two deltas cover the generations that come
 * together, and keep the head near 1 KB; each watcher reads it once per change.
 */
const MAX_DELTAS = 2;

/**
 * Publication ids kept in a head. A publisher whose answer was lost finds its
 * own id among them, for 7 s at 1.05 changes/s.
 */
const MAX_PUBLICATIONS = 8;

const toPublishError = (error: ports.StoreError): headUpdate.PublishError => ({
  code: error.code === 'unknown' ? 'unknown' : 'unavailable',
  message: error.message,
});

const retry = async <T>(
  call: () => Promise<ports.StoreResult<T>>,
): Promise<ports.StoreResult<T>> => {
  let result = await call();
  for (let attempt = 1; attempt < headUpdate.MAX_ATTEMPTS; attempt++) {
    const code = result
      .swap()
      .map(error => error.code)
      .extract();
    if (code !== 'unknown' && code !== 'unavailable') {
      return result;
    }
    result = await call();
  }
  return result;
};

/**
 * Creates an object named by its digest; one that exists has the same content.
 */
const createContent = async (
  store: ports.ObjectStore,
  digest: string,
  value: unknown,
): Promise<headUpdate.PublishResult<void>> => {
  const result = await retry(() =>
    store.create(configurationHead.SECTION_KIND, digest, value),
  );
  return result
    .map(() => undefined)
    .chainLeft(error =>
      error.code === 'conflict'
        ? purify.Right(undefined)
        : // Nothing is active before the head is updated, so even a lost answer
          // here leaves only an object that no head names.
          purify.Left({code: 'unavailable' as const, message: error.message}),
    );
};

const createContents = async (
  store: ports.ObjectStore,
  contents: ReadonlyMap<string, unknown>,
): Promise<headUpdate.PublishResult<void>> => {
  for (const [digest, value] of contents) {
    const created = await createContent(store, digest, value);
    if (created.isLeft()) {
      return created;
    }
  }
  return purify.Right(undefined);
};

/**
 * Reads the head to build on. A stale answer has a generation below the
 * expected one, so the read is repeated before a conflict is reported.
 */
const readBase = async (
  store: ports.ObjectStore,
  environment: string,
  expectedGeneration: number | undefined,
): Promise<
  headUpdate.PublishResult<configurationHead.StoredHead | undefined>
> => {
  let generation = 0;
  for (let attempt = 0; attempt < headUpdate.MAX_ATTEMPTS; attempt++) {
    const result = await retry(() =>
      configurationHead.readHead(store, environment),
    );
    if (result.isLeft()) {
      return result.mapLeft(error => ({
        code: 'unavailable' as const,
        message: error.message,
      }));
    }
    const base = result.orDefault(undefined);
    generation = base?.head.generation ?? 0;
    if ((expectedGeneration ?? generation) === generation) {
      return purify.Right(base);
    }
    if (generation > (expectedGeneration ?? 0)) {
      break;
    }
  }
  return purify.Left(headUpdate.describeConflict(environment, generation));
};

const createHead = (
  base: configurationHead.Head | undefined,
  digest: string,
  difference: compareManifests.ManifestDifference,
  publication: string,
): configurationHead.Head => {
  const generation = (base?.generation ?? 0) + 1;
  const delta = {generation, digest, ...difference};
  return {
    generation,
    digest,
    steps: [...(base?.steps ?? []), delta].slice(-MAX_DELTAS),
    publications: [...(base?.publications ?? []), publication].slice(
      -MAX_PUBLICATIONS,
    ),
  };
};

const readBaseManifest = async (
  store: ports.ObjectStore,
  base: configurationHead.StoredHead | undefined,
): Promise<headUpdate.PublishResult<configuration.Manifest>> => {
  if (!base) {
    return purify.Right(compareManifests.EMPTY_MANIFEST);
  }
  const manifest = await retry(() =>
    configurationHead.readManifest(store, base.head.digest),
  );
  return manifest.mapLeft(toPublishError);
};

/**
 * Random bytes of a publication id; it must be unique among the few ids in a
 * head.
 */
const PUBLICATION_ID_BYTES = 9;

/** Options of one publication. */
export interface PublishOptions {
  /** Fail with a conflict if another generation is active; 0 means none yet. */
  readonly expectedGeneration?: number;
  /** Unique id of this publication; random by default. */
  readonly publication?: string;
}

const publishManifest = async (
  store: ports.ObjectStore,
  environment: string,
  manifest: configuration.Manifest,
  contents: ReadonlyMap<string, unknown>,
  options: PublishOptions,
): Promise<headUpdate.PublishResult<headUpdate.Publication>> => {
  const base = await readBase(store, environment, options.expectedGeneration);
  if (base.isLeft()) {
    return base;
  }
  const stored = base.orDefault(undefined);
  const before = await readBaseManifest(store, stored);
  if (before.isLeft()) {
    return before;
  }
  const difference = compareManifests.compareManifests(
    before.orDefault(compareManifests.EMPTY_MANIFEST),
    manifest,
  );
  const digest = configuration.digestManifest(manifest);
  // What the base names is already stored. Only the difference is written, so
  // the number of calls for one change does not grow with the document.
  const wanted = new Set(difference.entries.map(entry => entry.digest));
  const fresh = [...contents].filter(([name]) => wanted.has(name));
  const created = await createContents(
    store,
    new Map([...fresh, [digest, manifest] as const]),
  );
  if (created.isLeft()) {
    return created;
  }
  const publication =
    options.publication ??
    crypto.randomBytes(PUBLICATION_ID_BYTES).toString('base64url');
  const head = createHead(stored?.head, digest, difference, publication);
  return headUpdate.updateHead({
    store,
    environment,
    base: stored,
    head,
    publication,
  });
};

/**
 * Publishes a checked document: first its sections, then one conditional update
 * of the head. If interrupted before that update, nothing has become active.
 */
export const publishDocument = (
  store: ports.ObjectStore,
  environment: string,
  document: configuration.Document,
  expectedGeneration?: number,
  publication?: string,
): Promise<headUpdate.PublishResult<headUpdate.Publication>> => {
  const split = configuration.splitDocument(document);
  const contents = new Map(
    split.sections.map(({digest, value}) => [digest, value]),
  );
  return publishManifest(store, environment, split.manifest, contents, {
    ...(expectedGeneration === undefined ? {} : {expectedGeneration}),
    ...(publication === undefined ? {} : {publication}),
  });
};

/**
 * Publishes the active configuration of `from` for `to`, unchanged. Nothing is
 * promoted if the active digest of `from` is not `digest`, the one that was
 * tried, or if `to` changes while this runs.
 */
export const promoteDocument = async (
  store: ports.ObjectStore,
  from: string,
  to: string,
  digest?: string,
  options: PublishOptions = {},
): Promise<headUpdate.PublishResult<headUpdate.Publication>> => {
  const source = await retry(() => configurationHead.readHead(store, from));
  if (source.isLeft()) {
    return source.mapLeft(toPublishError);
  }
  const head = source.orDefault(undefined)?.head;
  if (!head) {
    return purify.Left({
      code: 'not_found',
      message: `nothing is in force for ${from}`,
    });
  }
  if (digest !== undefined && digest !== head.digest) {
    return purify.Left(headUpdate.describeConflict(from, head.generation));
  }
  const manifest = await retry(() =>
    configurationHead.readManifest(store, head.digest),
  );
  if (manifest.isLeft()) {
    return manifest.mapLeft(toPublishError);
  }
  return publishManifest(
    store,
    to,
    manifest.orDefault(compareManifests.EMPTY_MANIFEST),
    new Map(),
    options,
  );
};
