/**
 * All objects of one kind as an instance knows them, and the time as of which
 * the view is known to be complete. Pure: time is an argument.
 */
import type * as ports from '@amaranthknot/ports';
import * as murmurhash from 'murmurhash';
import * as storeUptime from './store-uptime.js';

/** Objects of one kind by name. */
export type ObjectsByName = ReadonlyMap<string, ports.StoredObject>;

/** The difference between an earlier and a later state of a view. */
export interface ViewDelta {
  /** Names of all objects of the later state; objects not named are deleted. */
  readonly names: readonly string[];
  /** Objects that changed between the two states. */
  readonly objects: readonly ports.StoredObject[];
}

/** The state that a delta leads to. */
export interface ViewTarget {
  readonly version: number;
  readonly digest: string;
}

/** A view of one kind. */
export class KindView {
  private readonly byName = new Map<string, ports.StoredObject>();
  private completeTo: number | undefined;
  private confirmedAt = -Infinity;
  private knownDigest: string | undefined;
  private readonly answered = new storeUptime.StoreUptime();

  constructor(readonly kind: string) {}

  /** Objects by name. */
  get objects(): ObjectsByName {
    return this.byName;
  }

  /** Store version up to which the view is complete; undefined before any. */
  get version(): number | undefined {
    return this.completeTo;
  }

  /** Time at which the view was last known to be complete; -Infinity: never. */
  get confirmedAtMs(): number {
    return this.confirmedAt;
  }

  /**
   * Time since which the store has answered some instance without an outage;
   * see `StoreUptime`.
   */
  get answeredFromMs(): number {
    return this.answered.fromMs;
  }

  /** Records a span in which the store answered a peer. */
  recordAnswered(span: storeUptime.TimeSpan): void {
    this.answered.record(span);
  }

  /** Equal in views with the same contents. */
  get digest(): string {
    this.knownDigest ??= digestOf([...this.byName.values()]);
    return this.knownDigest;
  }

  /**
   * Confirms the view as of `asOfMs` if a peer's contents with this digest,
   * complete as of then, are the same. Returns whether they are.
   */
  confirmIfSame(digest: string, version: number, asOfMs: number): boolean {
    if (this.completeTo === undefined || digest !== this.digest) {
      return false;
    }
    this.completeTo = Math.max(this.completeTo, version);
    this.confirm(asOfMs);
    return true;
  }

  /**
   * Replaces the contents by a listing that was requested at `asOfMs`. A
   * listing older than the view is ignored, since a late answer must not
   * restore deleted objects. Returns whether the listing was applied.
   */
  replaceAll(listing: ports.StoreListing, asOfMs: number): boolean {
    if (this.completeTo !== undefined && listing.version < this.completeTo) {
      return false;
    }
    this.knownDigest = undefined;
    this.byName.clear();
    for (const object of listing.objects) {
      this.byName.set(object.name, object);
    }
    this.completeTo = listing.version;
    this.confirm(asOfMs);
    return true;
  }

  /** Returns what a view that is complete up to `version` lacks. */
  deltaSince(version: number): ViewDelta {
    const objects = [...this.byName.values()];
    return {
      names: objects.map(({name}) => name),
      objects: objects.filter(object => object.version > version),
    };
  }

  /**
   * Applies a delta, and returns whether the view then has the target's digest.
   * It may not: where this instance or the peer is behind, they may have
   * different versions of an object. The view is then left unchanged.
   */
  applyDelta(
    {names, objects}: ViewDelta,
    {version, digest}: ViewTarget,
    asOfMs: number,
  ): boolean {
    const changed = new Map(objects.map(object => [object.name, object]));
    const after = names.flatMap(
      name => changed.get(name) ?? this.byName.get(name) ?? [],
    );
    const isReached = digestOf(after) === digest;
    return isReached && this.replaceAll({objects: after, version}, asOfMs);
  }

  /**
   * Applies the changes that a watch returned. Changes that the view already
   * has are skipped: a peer or a listing may have brought newer versions while
   * the watch was in progress, and the next watch would not return those again.
   */
  applyChanges(changes: ports.StoreChanges, asOfMs: number): void {
    const {completeTo = -1} = this;
    for (const event of changes.events) {
      this.applyEvent(event, completeTo);
    }
    this.completeTo = Math.max(completeTo, changes.version);
    this.confirm(asOfMs);
  }

  private applyEvent(
    {type, object}: ports.StoreEvent,
    completeTo: number,
  ): void {
    const known = this.byName.get(object.name);
    if (type === 'put' && object.version > completeTo) {
      this.byName.set(object.name, object);
      this.knownDigest = undefined;
    }
    if (type === 'delete' && known && known.version <= object.version) {
      this.byName.delete(object.name);
      this.knownDigest = undefined;
    }
  }

  private confirm(asOfMs: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, asOfMs);
    this.answered.record({fromMs: asOfMs, toMs: asOfMs});
  }
}

const digestOf = (objects: readonly ports.StoredObject[]): string => {
  const rows = objects.map(({name, version}) => `${name}:${version}`);
  return murmurhash.default.v3(rows.sort().join('\n')).toString(36);
};
