/** Counts the calls and bytes of one instance's use of the object API. */
import type * as ports from '@amaranthknot/ports';

/**
 * Header bytes of a request and its answer; the same as those of the protocol
 * between instances in this bench.
 */
const HEADER_BYTES = 400;

/** Calls and bytes so far. */
export interface StoreUsage {
  calls: number;
  /** Bytes of bodies as JSON and of headers. */
  bytes: number;
}

/** Wraps a store and adds each call to `usage`. */
export const createCountingStore = (
  store: ports.ObjectStore,
  usage: StoreUsage,
): ports.ObjectStore => {
  const count =
    <A extends unknown[], T>(
      call: (...args: A) => Promise<ports.StoreResult<T>>,
    ) =>
    async (...args: A): Promise<ports.StoreResult<T>> => {
      usage.calls++;
      const result = await call(...args);
      usage.bytes +=
        HEADER_BYTES + JSON.stringify(result.extract() ?? '').length;
      return result;
    };
  return {
    get: count(store.get.bind(store)),
    list: count(store.list.bind(store)),
    create: count(store.create.bind(store)),
    update: count(store.update.bind(store)),
    delete: count(store.delete.bind(store)),
    watch: count(store.watch.bind(store)),
  };
};
