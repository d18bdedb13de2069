/** Upstreams that tests of the gateway's modules share. */
import type * as routing from '@amaranthknot/routing';

/** An upstream at which nothing listens. */
export const createUpstream = (): routing.Upstream => ({
  id: 'u-1',
  startedAtMs: 7,
  service: 'svc',
  address: {host: '127.0.0.1', port: 1},
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldForMs: 0,
});
