/**
 * Which upstreams there are, as the store tells it. Pure: time is an argument.
 */
import type * as ports from '@amaranthknot/ports';
import type * as routing from '@amaranthknot/routing';

/** Reads an upstream's entry; undefined where it names none to use. */
export type DecodeUpstream = (
  object: ports.StoredObject,
) => routing.Upstream | undefined;

/** An upstream with what is known of it beyond its entry. */
export interface KnownUpstream {
  readonly upstream: routing.Upstream;
  /** Until then it is cold and bears little, by this instance's clock. */
  readonly coldUntilMs: number;
  /** Since when it is known here. */
  readonly knownSinceMs: number;
}

/** How the catalog changed for one upstream. */
export type CatalogChangeKind =
  | 'added'
  | 'changed'
  /** It says that it is leaving. */
  | 'leaving'
  /** Its entry is missing, and it is kept for now. */
  | 'kept'
  | 'gone';

/** A change for one upstream. */
export interface CatalogChange {
  readonly kind: CatalogChangeKind;
  readonly known: KnownUpstream;
}

/** Settings of a catalog. */
export interface UpstreamCatalogOptions {
  /** Called once for all changes that came together. */
  readonly onChanges: (changes: readonly CatalogChange[]) => void;
  readonly decode: DecodeUpstream;
  /**
   * How long an upstream whose entry vanished around an outage of the store
   * stays in use, in milliseconds. Entries lapse while the store is away, and
   * live upstreams are back within that time; without it an outage of seconds
   * empties the catalog.
   */
  readonly lapseGraceMs: number;
}

interface Row {
  known: KnownUpstream;
  /** Store version of the entry it was read from. */
  version: number;
  /** Set while its entry is missing. */
  lapsedAtMs?: number;
}

/** All upstreams by id. */
export class UpstreamCatalog {
  private readonly rows = new Map<string, Row>();
  /** Changes that were not told yet. */
  private changes: CatalogChange[] = [];

  constructor(private readonly options: UpstreamCatalogOptions) {}

  /**
   * Takes in all entries.
   *
   * @param isStoreStable whether the store has answered all the while: then a
   *     missing entry means that the upstream is gone.
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

  /** Drops what is missing, and what has been missing for too long. */
  expire(nowMs: number, isStoreStable: boolean): void {
    for (const [id, {lapsedAtMs}] of this.rows) {
      const isMissing = lapsedAtMs !== undefined;
      if (isMissing && (isStoreStable || this.isOverdue(lapsedAtMs, nowMs))) {
        this.remove(id);
      }
    }
    this.notifyChanges();
  }

  /** All upstreams that are there, leaving ones included. */
  all(): readonly KnownUpstream[] {
    return [...this.rows.values()].map(row => row.known);
  }

  /** One upstream. */
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
    const coldUntilMs = nowMs + upstream.coldForMs;
    const known = {
      upstream,
      coldUntilMs: isSame
        ? Math.max(before.known.coldUntilMs, coldUntilMs)
        : coldUntilMs,
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
