/** Port to the platform's list of instances, which lags by seconds. */
import type * as purify from 'purify-ts';
import type * as objectStore from './object-store.js';

/** Kind of process that an instance runs. */
export type InstanceRole = 'entry' | 'engine' | 'service';

/** `leaving` instances accept no new work. */
export type InstanceState = 'live' | 'leaving';

/** An instance as the platform lists it. */
export interface ListedInstance {
  readonly id: string;
  readonly role: InstanceRole;
  readonly state: InstanceState;
  /** `host:port`, where the host is an IP address. */
  readonly address: string;
  readonly zone: string;
  /** Models of an engine, as `model@version`; for a service, its name only. */
  readonly serves: readonly string[];
}

/** Reads the platform's list; the result may be seconds old. */
export interface InstanceList {
  list(): Promise<
    purify.Either<objectStore.StoreError, readonly ListedInstance[]>
  >;
}
