/** Describes in one line of the log how the known upstreams have changed. */
import type * as gateway from '@amaranthknot/gateway';
import type * as telemetry from '@amaranthknot/telemetry';

/** As of when the upstreams are known. */
export interface CatalogFreshness {
  /** Time since they were known to be complete, in ms. */
  readonly ageMs: number | undefined;
  /** Store version up to which they are known. */
  readonly revision: number | undefined;
}

/** Names of each kind in one line; at a start all upstreams are new. */
const MAX_NAMES = 60;

const KINDS: readonly gateway.CatalogChangeKind[] = [
  'added',
  'changed',
  'leaving',
  'kept',
  'gone',
];

/** Names by what became of them; kinds that did not come are left out. */
export const describeChanges = (
  changes: readonly gateway.CatalogChange[],
  {ageMs, revision}: CatalogFreshness,
): telemetry.Details => {
  const named = KINDS.flatMap(kind => {
    const ids = changes
      .filter(change => change.kind === kind)
      .map(({known}) => known.upstream.id);
    return ids.length === 0 ? [] : [[kind, ids.slice(0, MAX_NAMES)] as const];
  });
  return {
    ...Object.fromEntries(named),
    count: changes.length,
    ageMs: ageMs === undefined ? undefined : Math.round(ageMs),
    revision,
  };
};
