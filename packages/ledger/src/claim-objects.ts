/** Calls to the object API for claims, each bounded in time. */
import type * as ports from '@amaranthknot/ports';
import * as claimRecord from './claim-record.js';
import * as callWithTimeout from './util/call-with-timeout.js';

/** What calls for claims need. */
export interface ClaimObjectsOptions {
  readonly store: ports.ObjectStore;
  readonly clock: ports.Clock;
  /** Time of one call, in milliseconds. */
  readonly callTimeoutMs: number;
}

/** A claim as read, with the version to change it by. */
export interface StoredClaim {
  readonly record: claimRecord.ClaimRecord;
  readonly version: number;
}

/** Claim objects in the object API. */
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

  /** Reads a claim; undefined when absent or when the platform is out. */
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
