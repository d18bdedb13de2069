/**
 * Port to the platform's object API: versioned objects, conditional updates
 * and watches. Each call counts against the platform's rate limit; a watch
 * counts as one call.
 */
import type * as purify from 'purify-ts';

/** An object as stored by the platform. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  /** Increases with each write to the store; also used as a fencing number. */
  readonly version: number;
  readonly value: unknown;
  /** Status that the system reported; absent before the first report. */
  readonly status?: unknown;
}

/**
 * Why a call failed.
 *
 * - `conflict`: the expected version is not the current one, or the object
 *   already exists; the write did not take effect.
 * - `not_found`: no such object.
 * - `unavailable`: the call was refused or not sent; it had no effect.
 * - `unknown`: the answer was lost; a write may have taken effect.
 * - `history_gone`: the changes after the watched version are no longer stored;
 *   the caller must list the kind again.
 */
export type StoreErrorCode =
  'conflict' | 'not_found' | 'unavailable' | 'unknown' | 'history_gone';

/** A failed call to the object API. */
export interface StoreError {
  readonly code: StoreErrorCode;
  readonly message: string;
}

/** Result of a call to the object API. */
export type StoreResult<T> = purify.Either<StoreError, T>;

/** A change of one object, as reported by a watch. */
export interface StoreEvent {
  readonly type: 'put' | 'delete';
  readonly object: StoredObject;
}

/** Changes reported by one call of `watch`. */
export interface StoreChanges {
  readonly events: readonly StoreEvent[];
  /** Version of the store up to which the events are complete. */
  readonly version: number;
}

/** Objects of one kind, and the store version to start a watch from. */
export interface StoreListing {
  readonly objects: readonly StoredObject[];
  readonly version: number;
}

/** Client of the platform's object API. */
export interface ObjectStore {
  /** Reads one object; the result may be an older version. */
  get(kind: string, name: string): Promise<StoreResult<StoredObject>>;
  /** Lists the objects of a kind whose names start with `prefix`. */
  list(kind: string, prefix?: string): Promise<StoreResult<StoreListing>>;
  /** Creates an object; fails with `conflict` if it exists. */
  create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<StoreResult<StoredObject>>;
  /** Replaces an object whose version is `expectedVersion`. */
  update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<StoreResult<StoredObject>>;
  /** Deletes an object whose version is `expectedVersion`. */
  delete(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<StoreResult<void>>;
  /**
   * Waits up to `waitMs` for changes of a kind after `afterVersion`, and
   * returns all of them; an empty list means that the time is over.
   */
  watch(
    kind: string,
    afterVersion: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<StoreResult<StoreChanges>>;
}

/** An object API that also stores a status beside each object's value. */
export interface StatusStore extends ObjectStore {
  /** Replaces the status of an object whose version is `expectedVersion`. */
  updateStatus(
    kind: string,
    name: string,
    status: unknown,
    expectedVersion: number,
  ): Promise<StoreResult<StoredObject>>;
}
