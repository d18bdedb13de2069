/** HTTP adapter of the platform's instance list. */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as httpClient from './http-client.js';
import type * as instanceList from './instance-list.js';
import type * as objectStore from './object-store.js';

const INSTANCES = zod.object({
  instances: zod.array(
    zod.object({
      id: zod.string(),
      role: zod.enum(['entry', 'engine', 'service']),
      state: zod.enum(['live', 'leaving']),
      address: zod.string(),
      zone: zod.string(),
      serves: zod.array(zod.string()),
    }),
  ),
});

/** Instance list that is read over HTTP. */
export class HttpInstanceList implements instanceList.InstanceList {
  constructor(private readonly client: httpClient.HttpClient) {}

  async list(): Promise<
    purify.Either<
      objectStore.StoreError,
      readonly instanceList.ListedInstance[]
    >
  > {
    const response = await this.client.send('GET', '/instances');
    return response.chain(found => {
      const parsed = INSTANCES.safeParse(found.body);
      return parsed.success && found.status === 200
        ? purify.Right(parsed.data.instances)
        : purify.Left({
            code: 'unavailable' as const,
            message: `the instance list answered ${found.status}`,
          });
    });
  }
}
