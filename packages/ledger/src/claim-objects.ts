/** Calls to the object API for claims, each with a timeout. */
import type * as ports from '@amaranthknot/ports';
import * as claimRecord from './claim-record.js';
import * as callWithTimeout from './util/call-with-timeout.js';

/** Dependencies and settings of `ClaimObjects`. */
export interface ClaimObjectsOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Timeout of one call, in milliseconds. */
  readonly callTimeoutMs: number;
}

/** A claim as read, with the version that an update or delete must pass. */
export interface StoredClaim {
  readonly record: claimRecord.ClaimRecord;
  readonly version: number;
}

/** Reads and writes claim objects. */
export class ClaimObjects {
  constructor(private readonly options: ClaimObjectsOptions) {}

  create(
    name: string,
    record: claimRecord.ClaimRecord,
  ): Promise<ports.StoreResult<ports.StoredObject>> {
    return this.call(
      this.options.store.create(claimRecord.CLAIM_KIND, name, record),
    );
  }

  update(
    name: string,
    record: claimRecord.ClaimRecord,
    version: number,
  ): Promise<ports.StoreResult<ports.StoredObject>> {
    return this.call(
      this.options.store.update(claimRecord.CLAIM_KIND, name, record, version),
    );
  }

  delete(name: string, version: number): Promise<ports.StoreResult<void>> {
    return this.call(
      this.options.store.delete(claimRecord.CLAIM_KIND, name, version),
    );
  }

  /** Reads a claim; undefined if it is absent, malformed or the call failed. */
  async read(name: string): Promise<StoredClaim | undefined> {
    const found = await this.call(
      this.options.store.get(claimRecord.CLAIM_KIND, name),
    );
    const object = found.toMaybe().extract();
    const record = claimRecord.readClaimRecord(object?.value);
    return object && record ? {record, version: object.version} : undefined;
  }

  private call<T>(
    call: Promise<ports.StoreResult<T>>,
  ): Promise<ports.StoreResult<T>> {
    const {clock, callTimeoutMs} = this.options;
    return callWithTimeout.callWithTimeout(clock, callTimeoutMs, call);
  }
}
