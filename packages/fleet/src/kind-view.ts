/**
 * All objects of one kind as an instance knows them, and as of when they are
 * known to be complete. Pure: time is an argument.
 */
import type * as ports from '@amaranthknot/ports';
import * as murmurhash from 'murmurhash';
import * as storeUptime from './store-uptime.js';

/** Objects of one kind by name. */
export type ObjectsByName = ReadonlyMap<string, ports.StoredObject>;

/** The step from one state of a view to a later one. */
export interface ViewDelta {
  /** Names of all objects that there are then. */
  readonly names: readonly string[];
  /** Objects that changed on the way. */
  readonly objects: readonly ports.StoredObject[];
}

/** A state that a step leads to. */
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

  /** Since when the store has answered someone; see `AnsweredSpan`. */
  get answeredFromMs(): number {
    return this.answered.fromMs;
  }

  /** Takes in a span in which the store answered a peer. */
  recordAnswered(span: storeUptime.TimeSpan): void {
    this.answered.record(span);
  }

  /** Equal in views with the same contents. */
  get digest(): string {
    this.knownDigest ??= digestOf([...this.byName.values()]);
    return this.knownDigest;
  }

  /**
   * Takes in a peer's word that contents with this digest were complete as of
   * `asOfMs`. Says whether they are this view's own.
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
   * Takes in a listing as of `asOfMs`, when it was asked for. An older one
   * than the view is ignored: a late answer must not bring back what is gone.
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

  /** What a view that is complete up to `version` lacks. */
  deltaSince(version: number): ViewDelta {
    const objects = [...this.byName.values()];
    return {
      names: objects.map(({name}) => name),
      objects: objects.filter(object => object.version > version),
    };
  }

  /**
   * Takes in the step to a later state. Says whether that state was reached:
   * a peer's history of an object may differ where one of them is behind.
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
   * Takes in the changes that a watch brought. Those that the view has already
   * are passed over: a peer or a listing may have brought newer ones while the
   * watch was on its way, and the next watch would not bring them again.
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
