/** HTTP adapter of the rating service. */
import * as purify from 'purify-ts';
import * as zod from 'zod';
import type * as httpClient from './http-client.js';
import type * as objectStore from './object-store.js';
import type * as ratingService from './rating-service.js';

const BATCH = zod.object({
  ratings: zod.array(
    zod.object({requestId: zod.string(), rating: zod.number().min(0).max(1)}),
  ),
  cursor: zod.number(),
});

const fail = (message: string): purify.Either<objectStore.StoreError, never> =>
  purify.Left({code: 'unavailable', message});

/** Rating service that is accessed over HTTP. */
export class HttpRatingService implements ratingService.RatingService {
  constructor(private readonly client: httpClient.HttpClient) {}

  async submit(
    source: string,
    samples: readonly ratingService.RatingSample[],
  ): Promise<purify.Either<objectStore.StoreError, void>> {
    const path = `/ratings/${encodeURIComponent(source)}`;
    const response = await this.client.send('POST', path, {body: {samples}});
    return response.chain(({status}) =>
      status < 300
        ? purify.Right(undefined)
        : fail(`the rating service answered ${status}`),
    );
  }

  async collect(
    source: string,
    cursor: number,
  ): Promise<purify.Either<objectStore.StoreError, ratingService.RatingBatch>> {
    const path = `/ratings/${encodeURIComponent(source)}?after=${cursor}`;
    const response = await this.client.send('GET', path);
    return response.chain(({status, body}) => {
      const parsed = BATCH.safeParse(body);
      return status < 300 && parsed.success
        ? purify.Right(parsed.data)
        : fail(`the rating service answered ${status}`);
    });
  }
}
