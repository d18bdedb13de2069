/**
 * Reads from the platform what an instance lacks of an accepted configuration.
 */
import type * as ports from '@amaranthknot/ports';
import * as purify from 'purify-ts';
import * as configurationHead from './configuration-head.js';
import type * as configurationUpdate from './configuration-update.js';
import * as sectionHistory from './section-history.js';
import * as compareManifests from './util/compare-manifests.js';

/**
 * Sections read in parallel. An instance that starts for the first time reads
 * every section; with eight in parallel, at a few milliseconds a call, that
 * takes less than a second and does not burst hundreds of calls on the
 * platform.
 */
const PARALLEL_READS = 8;

/**
 * Deltas of the head from the active configuration on; undefined if they do not
 * reach back so far.
 */
const listDeltas = (
  current: configurationUpdate.ActiveConfiguration | undefined,
  head: configurationHead.Head,
): readonly configurationHead.HeadDelta[] | undefined => {
  const from = current?.generation ?? 0;
  const deltas = head.steps.filter(delta => delta.generation > from);
  return deltas.length === head.generation - from ? deltas : undefined;
};

type Outline = Pick<
  configurationUpdate.ConfigurationUpdate,
  'manifest' | 'history'
>;

/**
 * Reads the manifest and history of a configuration, from the head alone if
 * possible.
 */
const readOutline = async (
  store: ports.ObjectStore,
  current: configurationUpdate.ActiveConfiguration | undefined,
  head: configurationHead.Head,
): Promise<ports.StoreResult<Outline>> => {
  const deltas = listDeltas(current, head);
  if (deltas) {
    const base = current?.manifest ?? compareManifests.EMPTY_MANIFEST;
    const history = current?.history ?? sectionHistory.EMPTY_HISTORY;
    return purify.Right({
      manifest: deltas.reduce(compareManifests.applyDifference, base),
      history: sectionHistory.applyHeadDeltas(history, deltas),
    });
  }
  const read = await configurationHead.readManifest(store, head.digest);
  return read.map(manifest => ({
    manifest,
    history: sectionHistory.startHistory(
      Object.keys(manifest.sections),
      head.generation,
    ),
  }));
};

const readSections = async (
  store: ports.ObjectStore,
  digests: readonly string[],
): Promise<ports.StoreResult<ReadonlyMap<string, unknown>>> => {
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

/** Reads the update from the active configuration to `head`. */
export const readUpdate = async (
  store: ports.ObjectStore,
  environment: string,
  current: configurationUpdate.ActiveConfiguration | undefined,
  head: configurationHead.Head,
): Promise<ports.StoreResult<configurationUpdate.ConfigurationUpdate>> => {
  const outline = await readOutline(store, current, head);
  if (outline.isLeft()) {
    return outline;
  }
  const {manifest, history} = outline.unsafeCoerce();
  const missing = Object.values(manifest.sections).filter(
    digest => !current?.sections.has(digest),
  );
  const contents = await readSections(store, [...new Set(missing)]);
  return contents.map(read => ({
    environment,
    generation: head.generation,
    digest: head.digest,
    manifest,
    contents: read,
    history,
  }));
};
