/**
 * In-memory fake of the platform's object API. It has the faults that the real
 * one may have: it can be down or slow, lose the answer of a write that took
 * effect, and answer reads with an older version.
 */
import * as purify from 'purify-ts';
import type * as ports from '@amaranthknot/ports';

/**
 * Fault of one call.
 *
 * - `none`: the call succeeds.
 * - `down`: refused before taking effect.
 * - `lost_before`: no answer, and the call did not take effect.
 * - `lost_after`: no answer, but the call took effect.
 * - `stale`: `get` answers with the object's previous version, if there is one.
 */
export type StoreFault =
  'none' | 'down' | 'lost_before' | 'lost_after' | 'stale';

/** Operation by which faults are chosen and calls are counted. */
export type StoreOperation =
  'get' | 'list' | 'create' | 'update' | 'delete' | 'watch';

/** Options of the in-memory store. */
export interface MemoryObjectStoreOptions {
  readonly clock: ports.Clock;
  /** Chooses the fault of each call; `none` by default. */
  readonly fault?: (operation: StoreOperation, kind: string) => StoreFault;
  /** Delay of each call in milliseconds; 0 by default. */
  readonly delayMs?: () => number;
}

const key = (kind: string, name: string): string => `${kind}/${name}`;

const failure = (
  code: ports.StoreErrorCode,
  message: string,
): purify.Either<ports.StoreError, never> => purify.Left({code, message});

/** Most events kept for slow watchers; beyond it the older half is dropped. */
const MAX_EVENTS = 100_000;

/** The platform's object API in memory. */
export class MemoryObjectStore implements ports.StatusStore {
  private version = 0;
  /** Changes up to this version were dropped by `compact`. */
  private compactedVersion = 0;
  private readonly objects = new Map<string, ports.StoredObject>();
  private readonly previous = new Map<string, ports.StoredObject>();
  private readonly events: ports.StoreEvent[] = [];
  private wakeController = new AbortController();
  /** Calls so far by operation; a waiting watch counts as one. */
  readonly calls: Record<StoreOperation, number> = {
    get: 0,
    list: 0,
    create: 0,
    update: 0,
    delete: 0,
    watch: 0,
  };
  /** Chooses the fault of each call; tests replace it. */
  fault: (operation: StoreOperation, kind: string) => StoreFault;

  constructor(private readonly options: MemoryObjectStoreOptions) {
    this.fault = options.fault ?? (() => 'none');
  }

  get(
    kind: string,
    name: string,
  ): Promise<ports.StoreResult<ports.StoredObject>> {
    return this.call('get', kind, isStale => {
      const id = key(kind, name);
      const found =
        (isStale ? this.previous.get(id) : undefined) ?? this.objects.get(id);
      return found
        ? purify.Right(found)
        : failure('not_found', `no object ${id}`);
    });
  }

  list(
    kind: string,
    prefix = '',
  ): Promise<ports.StoreResult<ports.StoreListing>> {
    return this.call('list', kind, () => {
      const objects = [...this.objects.values()]
        .filter(object => object.kind === kind)
        .filter(object => object.name.startsWith(prefix))
        .sort((a, b) => (a.name < b.name ? -1 : 1));
      return purify.Right({objects, version: this.version});
    });
  }

  create(
    kind: string,
    name: string,
    value: unknown,
  ): Promise<ports.StoreResult<ports.StoredObject>> {
    return this.call('create', kind, () => {
      if (this.objects.has(key(kind, name))) {
        return failure('conflict', `${key(kind, name)} exists`);
      }
      return purify.Right(this.put(kind, name, value));
    });
  }

  update(
    kind: string,
    name: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<ports.StoreResult<ports.StoredObject>> {
    return this.call('update', kind, () => {
      const error = this.checkVersion(kind, name, expectedVersion);
      return error ?? purify.Right(this.put(kind, name, value));
    });
  }

  updateStatus(
    kind: string,
    name: string,
    status: unknown,
    expectedVersion: number,
  ): Promise<ports.StoreResult<ports.StoredObject>> {
    return this.call('update', kind, () => {
      const error = this.checkVersion(kind, name, expectedVersion);
      const value = this.objects.get(key(kind, name))?.value;
      return error ?? purify.Right(this.put(kind, name, value, status));
    });
  }

  delete(
    kind: string,
    name: string,
    expectedVersion: number,
  ): Promise<ports.StoreResult<void>> {
    return this.call('delete', kind, () => {
      const error = this.checkVersion(kind, name, expectedVersion);
      if (error) {
        return error;
      }
      const id = key(kind, name);
      const object = this.objects.get(id);
      this.objects.delete(id);
      this.previous.delete(id);
      if (object) {
        this.version++;
        this.publish({
          type: 'delete',
          object: {...object, version: this.version},
        });
      }
      return purify.Right(undefined);
    });
  }

  async watch(
    kind: string,
    afterVersion: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<ports.StoreResult<ports.StoreChanges>> {
    const end = this.options.clock.now() + waitMs;
    const fault = this.fault('watch', kind);
    this.calls.watch++;
    if (fault === 'down' || fault === 'lost_before') {
      return failure('unavailable', 'the object API is down');
    }
    for (;;) {
      if (afterVersion < this.compactedVersion) {
        return failure('history_gone', 'these changes are no longer kept');
      }
      const events = this.events.filter(
        event =>
          event.object.kind === kind && event.object.version > afterVersion,
      );
      const remainingMs = end - this.options.clock.now();
      if (events.length > 0 || remainingMs <= 0 || signal?.aborted) {
        return purify.Right({events, version: this.version});
      }
      const signals = [this.wakeController.signal, ...(signal ? [signal] : [])];
      await this.options.clock.sleep(remainingMs, AbortSignal.any(signals));
      if (this.fault('watch', kind) === 'down') {
        return failure('unavailable', 'the object API went down');
      }
    }
  }

  /** Drops the changes so far; watches from before fail with `history_gone`. */
  compact(): void {
    this.events.length = 0;
    this.compactedVersion = this.version;
    this.wakeWatchers();
  }

  /** Number of objects of a kind. */
  count(kind: string): number {
    return [...this.objects.values()].filter(object => object.kind === kind)
      .length;
  }

  private async call<T>(
    operation: StoreOperation,
    kind: string,
    apply: (stale: boolean) => ports.StoreResult<T>,
  ): Promise<ports.StoreResult<T>> {
    this.calls[operation]++;
    const fault = this.fault(operation, kind);
    const delay = this.options.delayMs?.() ?? 0;
    if (delay > 0) {
      await this.options.clock.sleep(delay);
    } else {
      await Promise.resolve();
    }
    switch (fault) {
      case 'down':
        return failure('unavailable', 'the object API is down');
      case 'lost_before':
        return failure('unknown', 'no answer from the object API');
      case 'lost_after':
        apply(false);
        return failure('unknown', 'no answer from the object API');
      case 'stale':
        return apply(true);
      case 'none':
        return apply(false);
    }
  }

  private checkVersion(
    kind: string,
    name: string,
    expectedVersion: number,
  ): purify.Either<ports.StoreError, never> | undefined {
    const object = this.objects.get(key(kind, name));
    if (!object) {
      return failure('not_found', `no object ${key(kind, name)}`);
    }
    if (object.version !== expectedVersion) {
      return failure(
        'conflict',
        `${key(kind, name)} is at version ${object.version}, ` +
          `not ${expectedVersion}`,
      );
    }
    return undefined;
  }

  private put(
    kind: string,
    name: string,
    value: unknown,
    status?: unknown,
  ): ports.StoredObject {
    const id = key(kind, name);
    const before = this.objects.get(id);
    this.version++;
    // Copied, as a network call would do, so that callers share no values.
    const copy: unknown = structuredClone(value);
    const object = {
      kind,
      name,
      version: this.version,
      value: copy,
      ...(status === undefined ? {} : {status: structuredClone(status)}),
    };
    this.objects.set(id, object);
    if (before) {
      this.previous.set(id, before);
    }
    this.publish({type: 'put', object});
    return object;
  }

  private publish(event: ports.StoreEvent): void {
    this.events.push(event);
    if (this.events.length > MAX_EVENTS) {
      this.events.splice(0, MAX_EVENTS / 2);
    }
    this.wakeWatchers();
  }

  private wakeWatchers(): void {
    const controller = this.wakeController;
    this.wakeController = new AbortController();
    controller.abort();
  }
}
