/**
 * Tracks the registered upstreams from their entries in the store. Pure: time
 * is an argument.
 *
 * Guards against an empty catalog after an outage of the store, during which
 * the entries of live upstreams lapse.
 */
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';

/** Decodes an upstream's entry; undefined if it describes no usable one. */
export type DecodeUpstream = (
  object: ports.StoredObject,
) => routing.Upstream | undefined;

/** An upstream, with times that this instance derives from its entries. */
export interface KnownUpstream {
  readonly upstream: routing.Upstream;
  /** When this instance first saw this start of it, by our clock. */
  readonly knownSinceMs: number;
}

/** How the catalog changed for one upstream. */
export type CatalogChangeKind =
  | 'added'
  | 'changed'
  /** It announced that it is leaving. */
  | 'leaving'
  /** Its entry is missing, but it stays in use for the grace period. */
  | 'kept'
  | 'gone';

/** A change of one upstream. */
export interface CatalogChange {
  readonly kind: CatalogChangeKind;
  readonly known: KnownUpstream;
}

/** Settings of a catalog. */
export interface UpstreamCatalogOptions {
  /** Called once with all changes of one update. */
  readonly onChanges: (changes: readonly CatalogChange[]) => void;
  readonly decode: DecodeUpstream;
  /**
   * How long an upstream stays in use after its entry vanished around an outage
   * of the store, in milliseconds. Entries lapse during an outage, and live
   * upstreams register again within this time; without it an outage of seconds
   * empties the catalog.
   */
  readonly lapseGraceMs: number;
}

interface Row {
  known: KnownUpstream;
  /** Store version of the decoded entry. */
  version: number;
  /** Set while its entry is missing. */
  lapsedAtMs?: number;
}

/** The upstreams by id. */
export class UpstreamCatalog {
  private readonly rows = new Map<string, Row>();
  /** Changes that `onChanges` has not been called with yet. */
  private changes: CatalogChange[] = [];

  constructor(private readonly options: UpstreamCatalogOptions) {}

  /**
   * Applies a complete listing of the entries.
   *
   * @param isStoreStable whether the store has answered without interruption;
   *     a missing entry then means that the upstream is gone.
   */
  update(
    objects: ReadonlyMap<string, ports.StoredObject>,
    nowMs: number,
    isStoreStable: boolean,
  ): void {
    for (const object of objects.values()) {
      this.applyEntry(object, nowMs);
    }
    for (const [id, row] of this.rows) {
      if (objects.has(id)) {
        continue;
      }
      if (row.lapsedAtMs === undefined && !isStoreStable) {
        this.changes.push({kind: 'kept', known: row.known});
      }
      row.lapsedAtMs ??= nowMs;
    }
    this.expire(nowMs, isStoreStable);
  }

  /** Drops upstreams without an entry; those in their grace period stay. */
  expire(nowMs: number, isStoreStable: boolean): void {
    for (const [id, {lapsedAtMs}] of this.rows) {
      const isMissing = lapsedAtMs !== undefined;
      if (isMissing && (isStoreStable || this.isOverdue(lapsedAtMs, nowMs))) {
        this.remove(id);
      }
    }
    this.notifyChanges();
  }

  /** All known upstreams, including leaving ones. */
  all(): readonly KnownUpstream[] {
    return [...this.rows.values()].map(row => row.known);
  }

  /** The upstream with this id; undefined if it is not known. */
  find(id: string): KnownUpstream | undefined {
    return this.rows.get(id)?.known;
  }

  private remove(id: string): void {
    const row = this.rows.get(id);
    if (row) {
      this.rows.delete(id);
      this.changes.push({kind: 'gone', known: row.known});
    }
  }

  private notifyChanges(): void {
    const {changes} = this;
    if (changes.length > 0) {
      this.changes = [];
      this.options.onChanges(changes);
    }
  }

  private isOverdue(lapsedAtMs: number, nowMs: number): boolean {
    return nowMs - lapsedAtMs >= this.options.lapseGraceMs;
  }

  private applyEntry(object: ports.StoredObject, nowMs: number): void {
    const before = this.rows.get(object.name);
    if (before?.version === object.version) {
      delete before.lapsedAtMs;
      return;
    }
    const upstream = this.options.decode(object);
    if (!upstream) {
      this.remove(object.name);
      return;
    }
    const isSame = before?.known.upstream.startedAtMs === upstream.startedAtMs;
    const known = {
      upstream,
      knownSinceMs: isSame ? before.known.knownSinceMs : nowMs,
    };
    this.rows.set(object.name, {version: object.version, known});
    this.changes.push({kind: kindOfChange(before?.known, known), known});
  }
}

const kindOfChange = (
  before: KnownUpstream | undefined,
  {upstream}: KnownUpstream,
): CatalogChangeKind => {
  if (!before) {
    return 'added';
  }
  const isNewlyLeaving =
    upstream.state === 'leaving' && before.upstream.state !== 'leaving';
  return isNewlyLeaving ? 'leaving' : 'changed';
};
