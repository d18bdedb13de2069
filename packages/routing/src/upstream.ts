/** Upstreams as they register themselves in the store. */
import type * as address from './address.js';

/** Whether an upstream accepts new requests. */
export type UpstreamState = 'ready' | 'leaving';

/** One registered upstream. */
export interface Upstream {
  /** Usually new at each start of the upstream. */
  readonly id: string;
  /** Wall time of its start, in ms; distinguishes starts under one id. */
  readonly startedAtMs: number;
  readonly service: string;
  readonly address: address.Address;
  readonly zone: string;
  /** Version of the service that it runs. */
  readonly version: string;
  /** Requests that it processes at a time. */
  readonly slots: number;
  readonly state: UpstreamState;
  /** Remaining cold start when it wrote this entry, in milliseconds. */
  readonly coldForMs: number;
}
