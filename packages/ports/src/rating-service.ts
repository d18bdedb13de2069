/** Port to the service that rates sampled answers, late and not all of them. */
import type * as purify from 'purify-ts';
import type * as objectStore from './object-store.js';

/** An answer to be rated, with its prompt. */
export interface RatingSample {
  readonly requestId: string;
  /** `model@version` that gave the answer. */
  readonly model: string;
  readonly task: string;
  readonly prompt: string;
  readonly answer: string;
}

/** Rating of one answer, from 0 (bad) to 1 (good). */
export interface Rating {
  readonly requestId: string;
  readonly rating: number;
}

/** Ratings made after a cursor. */
export interface RatingBatch {
  readonly ratings: readonly Rating[];
  /** Cursor to pass to the next call. */
  readonly cursor: number;
}

/** Client of the service that rates answers. */
export interface RatingService {
  /** Submits answers; their ratings are collected under the name `source`. */
  submit(
    source: string,
    samples: readonly RatingSample[],
  ): Promise<purify.Either<objectStore.StoreError, void>>;
  /** Returns the ratings of a source's answers after a cursor, 0 at first. */
  collect(
    source: string,
    cursor: number,
  ): Promise<purify.Either<objectStore.StoreError, RatingBatch>>;
}
