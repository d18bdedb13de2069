/** Formats changes of the upstream catalog as details of one log line. */
import type * as gateway from '@amaranthknot/gateway';
import type * as telemetry from '@amaranthknot/telemetry';

/** How fresh the catalog is. */
export interface CatalogFreshness {
  /** Time since the upstreams were last known to be complete, in ms. */
  readonly ageMs: number | undefined;
  /** Store version that the catalog is in sync with. */
  readonly revision: number | undefined;
}

/** Maximum number of ids of each kind: at a start all upstreams are added. */
const MAX_IDS = 60;

const KINDS: readonly gateway.CatalogChangeKind[] = [
  'added',
  'changed',
  'leaving',
  'kept',
  'gone',
];

/** Lists the ids by kind of change, without the kinds that did not occur. */
export const describeChanges = (
  changes: readonly gateway.CatalogChange[],
  {ageMs, revision}: CatalogFreshness,
): telemetry.Details => {
  const named = KINDS.flatMap(kind => {
    const ids = changes
      .filter(change => change.kind === kind)
      .map(({known}) => known.upstream.id);
    return ids.length === 0 ? [] : [[kind, ids.slice(0, MAX_IDS)] as const];
  });
  return {
    ...Object.fromEntries(named),
    count: changes.length,
    ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
    revision,
  };
};
